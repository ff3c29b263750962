package relay

import (
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/internal/relay/slots"
	"github.com/hazelpitch/hazelpitch/internal/serving"
)

// slotCounter counts the requests that a back end serves at the same time.
type slotCounter struct{ current, most atomic.Int64 }

// serving returns a script that answers after a few milliseconds.
func (c *slotCounter) serving(connection net.Conn, request backEndRequest) bool {
	current := c.current.Add(1)
	for most := c.most.Load(); current > most && !c.most.CompareAndSwap(most, current); most = c.most.Load() {
	}
	time.Sleep(5 * time.Millisecond)
	c.current.Add(-1)
	writeAnswer(connection, request, 200, "served")
	return true
}

// startSharingRelays starts relays before two back ends with two slots each.
func startSharingRelays(t *testing.T, isShared bool) (relays []*testRelay, counters []*slotCounter) {
	t.Helper()
	var backEnds []*scriptedBackEnd
	for _, id := range []string{"one", "two"} {
		counter := &slotCounter{}
		backEnd := startBackEnd(t, id, serving.StageWhole, counter.serving)
		backEnd.entry.Slots = 2
		backEnds, counters = append(backEnds, backEnd), append(counters, counter)
	}
	patient := func(route *serving.Route) { route.Target, route.Timeout = time.Minute, time.Hour }
	var addresses []string
	for range 4 {
		relay := newTestRelay(t, route(patient), backEnds...)
		relays, addresses = append(relays, relay), append(addresses, relay.datagrams.Address)
	}
	for _, relay := range relays {
		if isShared {
			relay.sharingSlots(t, addresses...)
		}
	}
	return relays, counters
}

// serveManyClients lets many clients at each relay send a few requests at the same time.
func serveManyClients(t *testing.T, relays []*testRelay) {
	t.Helper()
	const clients, requests = 6, 4
	var group sync.WaitGroup
	for _, relay := range relays {
		for range clients {
			client := relay.client(t)
			group.Go(func() {
				for range requests {
					client.send("POST", "/path/", "x")
					assert.Equal(t, 200, client.read().status)
				}
			})
		}
	}
	group.Wait()
}

// Four relays with many clients before two back ends with two slots each. With shared slots, no back end ever has more
// requests than slots; without them, each relay decides alone and back ends are overfilled.
func TestRelaysTogetherKeepToTheSlots(t *testing.T) {
	relays, counters := startSharingRelays(t, true)
	serveManyClients(t, relays)
	granted := 0
	for _, relay := range relays {
		granted += relay.slotRequests(t, slots.Granted)
	}
	require.Equal(t, 96, granted)
	for _, counter := range counters {
		require.LessOrEqual(t, counter.most.Load(), int64(2))
	}

	relays, counters = startSharingRelays(t, false)
	serveManyClients(t, relays)
	require.Greater(t, max(counters[0].most.Load(), counters[1].most.Load()), int64(2))
}
