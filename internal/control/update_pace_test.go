package control

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/consensus"
)

// mostAtOnce is the most that may be told at one moment at a pace.
func mostAtOnce(perSecond float64) int { return int(perSecond * updateBurstWindow.Seconds()) }

// A thousand relays that wait are told of a change over a second or less, never many at once, so that the
// leader has time for its peers; a small fleet is told at once.
func TestNewsIsSpreadOverTime(t *testing.T) {
	for relays, spread := range map[int]bool{40: false, 1000: true} {
		w := newFleetWorld(t, 300, relays)
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
		most, before := 0, 0
		for range 100 {
			w.run(10 * time.Millisecond)
			most = max(most, answered()-before)
			before = answered()
		}
		require.Equal(t, relays, answered(), "within a second")
		require.LessOrEqual(t, most, mostAtOnce(maximumUpdatesPerSecond)*6/5)
		if spread {
			require.Greater(t, relays, 4*most)
		}
	}
}

// A leader whose peers' answers come late tells fewer at a time. It tells more again when they come in time
// and somebody waits, and does not learn from quiet times.
func TestNewsGoesByTheQuorum(t *testing.T) {
	pace := newUpdatePace()
	for range 20 {
		pace.tick(true)
	}
	require.InDelta(t, minimumUpdatesPerSecond, pace.perSecond, 1)
	for range 1000 {
		pace.tick(false)
	}
	require.InDelta(t, minimumUpdatesPerSecond, pace.perSecond, 1, "nobody waits")
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

// The pace falls before the leader would step down for want of its peers.
func TestNewsSlowsDownBeforeTheLeaderFalls(t *testing.T) {
	w := newFleetWorld(t, 300, 1)
	leader := w.leader()
	before := leader.core.updatePace.perSecond
	leader.cut = true
	w.run(consensus.DefaultElectionTimeout * 3 / 4)
	require.True(t, leader.core.Consensus().Role == consensus.RoleLeader)
	require.Less(t, leader.core.updatePace.perSecond, before)
}
