package returnplan

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestPromisesFitTheRoom guards against more promises in a span than slots come free in it, and against spans that are
// left empty while callers wait.
func TestPromisesFitTheRoom(t *testing.T) {
	cases := []struct {
		name string
		room Room
		// first is the span of the first promise, and perSecond the promises in each full second after it.
		first     time.Duration
		perSecond int
	}{
		{"nine slots in a span", Room{PerSecond: 180}, span, 180},
		{"a slot in every fourth span", Room{PerSecond: 5}, 200*time.Millisecond - span, 5},
		{"two and a half slots in a span", Room{PerSecond: 50}, span, 50},
		{"after the backlog", Room{PerSecond: 180, Backlog: 90}, 500 * time.Millisecond, 180},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			owner := newTestOwner()
			for range 3 * test.perSecond {
				_, promised := owner.refuse(0, test.room, 7, 0)
				require.True(t, promised)
			}
			counts := countBySpan(owner.plan)
			sum := 0
			for start := test.first; start < test.first+2*time.Second; start += span {
				require.Equal(t, countBetween(test.room.PerSecond, start, start+span), counts[start], start)
				sum += counts[start]
			}
			require.InDelta(t, 2*test.perSecond, sum, 1, "a slot may come free at the border of two spans")
			require.Equal(t, test.first, owner.plan.promises.byTime[0].DueAt.Truncate(span))
		})
	}
}

// TestTimesAreSpreadWithinASpan guards against returns that all come at the start of a span.
func TestTimesAreSpreadWithinASpan(t *testing.T) {
	plan := New(span)
	room := Room{PerSecond: 80}
	for i, draw := range []float64{0, 0.25, 0.5, 0.9999999999999999} {
		at, promised := plan.Promise(0, Caller{Signature: uint64(1 + i)}, room, clientTimeout, draw)
		require.True(t, promised)
		require.Equal(t, span, at.Truncate(span))
		require.InDelta(t, draw*float64(span), float64(at-span), 1)
	}
}

// TestPromisesAreInTime guards against promises after the latest time and in spans that have begun.
func TestPromisesAreInTime(t *testing.T) {
	room := Room{PerSecond: 200}
	plan := New(span)
	at, promised := plan.Promise(20*time.Millisecond, Caller{Signature: 1}, room, 60*time.Millisecond, 0.5)
	require.True(t, promised)
	require.Equal(t, 55*time.Millisecond, at, "spread over the part of the span until the latest time")
	at, promised = plan.Promise(20*time.Millisecond, Caller{Signature: 2}, room, 49*time.Millisecond, 0.5)
	require.False(t, promised)
	require.Equal(t, 75*time.Millisecond, at, "when there is room")
	require.Equal(t, 1, plan.DueUntil(20*time.Millisecond, time.Second), "no slot is kept for an unpromised time")
}

// TestUnpromisedTimesAreTrue guards against return times at which the slots are still taken.
func TestUnpromisedTimesAreTrue(t *testing.T) {
	cases := []struct {
		name     string
		room     Room
		earliest time.Duration
	}{
		{"backlog of two seconds", Room{PerSecond: 100, Backlog: 200}, 2 * time.Second},
		{"backlog beyond the horizon", Room{PerSecond: 2, Backlog: 99}, 50 * time.Second},
		{"no completions", Room{PerSecond: 0, Backlog: 3}, horizon},
		{"a long backlog", Room{PerSecond: 1e-9, Backlog: 1}, maximumExpected},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			at, promised := New(span).Promise(time.Minute, Caller{Signature: 1}, test.room, time.Minute+time.Second, 0.5)
			require.False(t, promised)
			require.GreaterOrEqual(t, at, time.Minute+test.earliest)
			require.LessOrEqual(t, at, time.Minute+test.earliest+span)
		})
	}
}

// TestReturnWindow guards against promises that do not count for a client that is on time, or count for one that is not.
func TestReturnWindow(t *testing.T) {
	cases := []struct {
		name  string
		after time.Duration
		due   bool
	}{
		{"too early", -earlyTolerance - 1, false},
		{"a little early", -earlyTolerance, true},
		{"on time", 0, true},
		{"a little late", lateTolerance, true},
		{"too late", lateTolerance + 1, false},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			plan := New(span)
			at, _ := plan.Promise(0, Caller{Signature: 1}, Room{PerSecond: 180}, clientTimeout, 0.5)
			_, due := plan.Redeem(at+test.after, 1)
			require.Equal(t, test.due, due)
		})
	}
}

// TestUnredeemedPromiseLapses guards against slots that are kept free for clients that never return.
func TestUnredeemedPromiseLapses(t *testing.T) {
	plan := New(span)
	room := Room{PerSecond: 20} // one slot in each span
	at, _ := plan.Promise(0, Caller{Signature: 1}, room, clientTimeout, 0.5)
	require.Zero(t, plan.DueUntil(0, at-1))
	require.Equal(t, 1, plan.DueUntil(0, at))
	require.Equal(t, 1, plan.DueUntil(at+lateTolerance, at+lateTolerance))
	after := at + lateTolerance + 1
	require.Zero(t, plan.DueUntil(after, clientTimeout))
	promise, due := plan.Redeem(after, 1)
	require.False(t, due)
	require.Zero(t, promise)
	again, promised := plan.Promise(after, Caller{Signature: 1}, room, clientTimeout, 0)
	require.True(t, promised)
	require.LessOrEqual(t, again-after, span, "a lapsed promise does not delay the next one")
}

// TestRedeemedPlaceIsFree guards against a slot that stays reserved once its client has returned early.
func TestRedeemedPlaceIsFree(t *testing.T) {
	plan := New(span)
	room := Room{PerSecond: 20}
	at, _ := plan.Promise(0, Caller{Signature: 1}, room, clientTimeout, 0)
	require.Equal(t, span, at)
	_, due := plan.Redeem(at-earlyTolerance, 1)
	require.True(t, due)
	next, promised := plan.Promise(at-earlyTolerance, Caller{Signature: 2}, room, clientTimeout, 0)
	require.True(t, promised)
	require.Equal(t, at, next)
}
