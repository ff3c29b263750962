package control

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/consensus"
)

// maximumBurst returns the maximum number of updates at one moment at a pace.
func maximumBurst(perSecond float64) int { return int(perSecond * updateBurstWindow.Seconds()) }

// A thousand waiting relays get an update within a second and never many at once, so that the leader has time
// for its peers. A small fleet gets it at once.
func TestNewsIsSpreadOverTime(t *testing.T) {
	for relays, spread := range map[int]bool{40: false, 1000: true} {
		w := newTestFleet(t, 300, relays)
		w.settle(60)
		leader := w.leader()
		var calls []CallID
		for _, relay := range w.relays {
			relay.request.WaitMs, relay.request.DocumentNumber = 5000, 0
			calls = append(calls, w.send(leader, func(id CallID) Input { return WatchReceived{Call: id, Request: relay.request} }))
		}
		answered := func() (count int) {
			for _, call := range calls {
				if _, is := w.answers[call]; is {
					count++
				}
			}
			return count
		}
		w.run(200 * time.Millisecond)
		require.Zero(t, answered())
		w.send(leader, func(id CallID) Input {
			return PutDocumentReceived{Call: id, Document: &v1.Document{Number: 5, Content: []byte("five")}}
		})
		largest, before := 0, 0
		for range 100 {
			w.run(10 * time.Millisecond)
			largest = max(largest, answered()-before)
			before = answered()
		}
		require.Equal(t, relays, answered(), "within a second")
		require.LessOrEqual(t, largest, maximumBurst(maximumUpdatesPerSecond)*6/5)
		if spread {
			require.Greater(t, relays, 4*largest)
		}
	}
}

// A leader whose peers answer late updates fewer relays at a time. The pace rises again when the answers are in time
// and relays wait for updates, and does not change when no relay waits.
func TestUpdatePaceFollowsTheQuorum(t *testing.T) {
	pace := newUpdatePace()
	for range 20 {
		pace.tick(true)
	}
	require.InDelta(t, minimumUpdatesPerSecond, pace.perSecond, 1)
	for range 1000 {
		pace.tick(false)
	}
	require.InDelta(t, minimumUpdatesPerSecond, pace.perSecond, 1, "no relay waits")
	now := time.Duration(0)
	for range 400 {
		now += TickInterval
		for pace.allow(now) {
			continue
		}
		pace.tick(false)
	}
	require.InDelta(t, maximumUpdatesPerSecond, pace.perSecond, 1)
}

// The pace decreases before the leader steps down because it has lost its quorum.
func TestNewsSlowsDownBeforeTheLeaderFalls(t *testing.T) {
	w := newTestFleet(t, 300, 1)
	leader := w.leader()
	before := leader.core.updatePace.perSecond
	leader.cut = true
	w.run(consensus.DefaultElectionTimeout * 3 / 4)
	require.True(t, leader.core.Consensus().Role == consensus.RoleLeader)
	require.Less(t, leader.core.updatePace.perSecond, before)
}
