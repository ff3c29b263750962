package placement

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/internal/serving"
)

// With far more relays and back ends than requests, each request would open a connection. 100 relays send 100
// short requests a second to 60 back ends of 6 slots; three requests of a client follow one another within half
// a second, and an idle connection is closed after 4 s. These are the figures of one zone in a fleet of a thousand
// relays that serves 427 requests a second, a quarter of them whole.
func TestFewRequestsOfManyRelaysShareConnections(t *testing.T) {
	opened, busiest := simulateShortRequests(DefaultParameters())
	without := DefaultParameters()
	without.ConnectionPenalty = 0
	openedWithout, _ := simulateShortRequests(without)
	t.Logf("%.2f connections a request, %.2f without; %d running at once at most", opened, openedWithout, busiest)
	require.Less(t, opened, 0.5)
	require.Greater(t, openedWithout, 0.9)
	require.LessOrEqual(t, busiest, 2, "open connections load no back end more")
}

// simulateShortRequests returns the connections opened per request and the largest number of requests at a back end.
func simulateShortRequests(policy Parameters) (opened float64, busiest int) {
	const (
		relays, backEnds = 100, 60
		series, length   = 1000, 3
		idleTimeout      = 4 * time.Second
		work             = 20 * time.Millisecond
	)
	random := rand.New(rand.NewPCG(3, 4))
	usedAt := map[[2]int]time.Duration{}
	busyUntil := make([]time.Duration, backEnds)
	connections, requests := 0, 0
	for number := range series {
		relay, now := random.IntN(relays), time.Duration(number)*30*time.Millisecond
		for range length {
			engines := make([]Engine, backEnds)
			for index := range engines {
				lastUsed, known := usedAt[[2]int{relay, index}]
				engines[index] = Engine{Hash: uint64(index), Stage: serving.StageWhole, Slots: 6, Connected: known && now-lastUsed < idleTimeout}
				if busyUntil[index] > now {
					engines[index].Running = 1
				}
			}
			chosen := policy.PickBackEnd(Request{Now: now, Stage: serving.StageWhole}, engines, random.Float64)
			if !engines[chosen.Index].Connected {
				connections++
			}
			requests++
			busiest = max(busiest, engines[chosen.Index].Running+1)
			usedAt[[2]int{relay, chosen.Index}], busyUntil[chosen.Index] = now, now+work
			now += time.Duration(random.IntN(250)) * time.Millisecond
		}
	}
	return float64(connections) / float64(requests), busiest
}

// A back end with one more running request is not picked for its open connection.
func TestOpenConnectionsOnlyBreakTies(t *testing.T) {
	engines := []Engine{{Stage: serving.StageWhole, Connected: true, Running: 1}, {Stage: serving.StageWhole}}
	chosen := DefaultParameters().PickBackEnd(Request{Stage: serving.StageWhole}, engines, func() float64 { return 0.5 })
	require.Equal(t, 1, chosen.Index)
}
