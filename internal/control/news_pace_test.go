package control

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
)

// mostAtOnce is the most that may be told at one moment at a pace.
func mostAtOnce(perSecond float64) int { return int(perSecond * newsBurst.Seconds()) }

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
		require.LessOrEqual(t, most, mostAtOnce(mostNews)*6/5)
		if spread {
			require.Greater(t, relays, 4*most)
		}
	}
}

// A leader that is short of its processor tells fewer at a time, and more again when it is not.
func TestNewsGoesByTheProcessor(t *testing.T) {
	pace := newNewsPace()
	now := time.Duration(0)
	for range 6 {
		now += lateTick + 1
		pace.tick(now)
	}
	require.InDelta(t, leastNews, pace.perSecond, 1)
	for range 400 {
		now += TickInterval
		pace.tick(now)
	}
	require.InDelta(t, mostNews, pace.perSecond, 1)
	told := 0
	for pace.take(now) {
		told++
	}
	require.Equal(t, mostAtOnce(mostNews), told)
}
