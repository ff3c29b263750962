package slots

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The number of messages for each request must not grow with the number of relays: a report for each pair of relay and
// back end, or a message to each relay, would.
func TestMessagesDoNotGrowWithTheRelays(t *testing.T) {
	for _, relays := range []int{71, 300, 985} {
		t.Run(fmt.Sprint(relays), func(t *testing.T) {
			// Three back ends with six slots of 20 ms carry 900 requests a second; 500 a second are sent.
			const requests, interval = 1000, 2 * time.Millisecond
			inFleet(t, relays, 3, 6, func(t *testing.T, fleet *testFleet) {
				time.Sleep(time.Second)
				idleDatagrams, _ := fleet.network.takeCounts()
				require.Zero(t, idleDatagrams, "relays without slots send nothing")
				var group sync.WaitGroup
				for number := range requests {
					relay := fleet.relays[number*7919%relays]
					group.Go(func() { fleet.serve(relay, relay.request()) })
					time.Sleep(interval)
				}
				group.Wait()
				time.Sleep(time.Second) // the last reports
				served, _ := fleet.counts()
				datagrams, bytes := fleet.network.takeCounts()
				require.Equal(t, requests, served)
				seconds := (requests * interval).Seconds()
				t.Logf("%d relays: %.2f datagrams and %.0f bytes for each request; %.0f datagrams and %.0f bytes a second",
					relays, float64(datagrams)/requests, float64(bytes)/requests, float64(datagrams)/seconds, float64(bytes)/seconds)
				// One request, one answer, a report of the release to owner and deputy, and a final report to both; the rest
				// are reports of slots that are in use when reports are due.
				require.LessOrEqual(t, datagrams, 7*requests)
				require.LessOrEqual(t, bytes, 250*requests)
			})
		})
	}
}
