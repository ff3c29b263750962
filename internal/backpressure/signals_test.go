package backpressure

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestRestEndsWhenItWasAskedToEnd(t *testing.T) {
	signals := &Signals{}
	require.Zero(t, signals.RemainingBackoff(0))
	signals.ExtendBackoff(time.Second, 3*time.Second)
	require.Equal(t, 3*time.Second, signals.RemainingBackoff(time.Second))
	require.Equal(t, time.Nanosecond, signals.RemainingBackoff(4*time.Second-1))
	require.Zero(t, signals.RemainingBackoff(4*time.Second))
}

// Each rest holds to its end, whatever is asked for before, during and after it.
func TestNoRestIsCutShort(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		signals := &Signals{}
		now, latest := time.Duration(0), time.Duration(0)
		for range rapid.IntRange(1, 20).Draw(t, "answers") {
			now += time.Duration(rapid.Int64Range(0, int64(5*time.Second)).Draw(t, "pause"))
			rest := time.Duration(rapid.Int64Range(1, int64(4*time.Second)).Draw(t, "rest"))
			signals.ExtendBackoff(now, rest)
			latest = max(latest, now+rest)
			if signals.RemainingBackoff(now) != latest-now {
				t.Fatalf("at %v: %v of rest are left, not %v", now, signals.RemainingBackoff(now), latest-now)
			}
		}
	})
}

func TestLeavingIsForGood(t *testing.T) {
	signals := &Signals{}
	require.False(t, signals.IsLeaving())
	require.True(t, signals.MarkLeaving(0))
	require.True(t, signals.IsLeaving())
	require.False(t, signals.MarkLeaving(time.Second), "no news")
}

// A back end that the list does not show for a while has the same signals when it is shown again; another
// start, which has another identity, has none.
func TestSignalsOutliveAnAbsenceFromTheList(t *testing.T) {
	nobody := func(string) bool { return false }
	ledger := NewRegistry()
	ledger.SignalsOf("rests").ExtendBackoff(0, 10*time.Second)
	ledger.SignalsOf("leaves").MarkLeaving(0)
	ledger.SignalsOf("asked nothing")
	ledger.RemoveUnlisted(9*time.Second, nobody)
	require.Len(t, ledger.signals, 2)
	require.Equal(t, time.Second, ledger.SignalsOf("rests").RemainingBackoff(9*time.Second))
	require.True(t, ledger.SignalsOf("leaves").IsLeaving())
	require.Zero(t, ledger.SignalsOf("rests, started again").RemainingBackoff(9*time.Second))
	ledger.RemoveUnlisted(11*time.Second, nobody)
	require.Len(t, ledger.signals, 1)
	ledger.RemoveUnlisted(leavingMemory+time.Second, func(identity string) bool { return identity == "leaves" })
	require.True(t, ledger.SignalsOf("leaves").IsLeaving(), "listed ones are never forgotten")
	ledger.RemoveUnlisted(leavingMemory+time.Second, nobody)
	require.Empty(t, ledger.signals)
}
