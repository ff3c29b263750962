package backpressure

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestRestEndsWhenItWasAskedToEnd(t *testing.T) {
	signals := &Signals{}
	require.Zero(t, signals.Rest(0))
	signals.AskRest(time.Second, 3*time.Second)
	require.Equal(t, 3*time.Second, signals.Rest(time.Second))
	require.Equal(t, time.Nanosecond, signals.Rest(4*time.Second-1))
	require.Zero(t, signals.Rest(4*time.Second))
}

// Each rest holds to its end, whatever is asked for before, during and after it.
func TestNoRestIsCutShort(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		signals := &Signals{}
		now, latest := time.Duration(0), time.Duration(0)
		for range rapid.IntRange(1, 20).Draw(t, "answers") {
			now += time.Duration(rapid.Int64Range(0, int64(5*time.Second)).Draw(t, "pause"))
			rest := time.Duration(rapid.Int64Range(1, int64(4*time.Second)).Draw(t, "rest"))
			signals.AskRest(now, rest)
			latest = max(latest, now+rest)
			if signals.Rest(now) != latest-now {
				t.Fatalf("at %v: %v of rest are left, not %v", now, signals.Rest(now), latest-now)
			}
		}
	})
}

func TestLeavingIsForGood(t *testing.T) {
	signals := &Signals{}
	require.False(t, signals.Leaving())
	require.True(t, signals.SayLeaving(0))
	require.True(t, signals.Leaving())
	require.False(t, signals.SayLeaving(time.Second), "no news")
}

// A back end that the list does not show for a while has the same signals when it is shown again; another
// start, which has another identity, has none.
func TestSignalsOutliveAnAbsenceFromTheList(t *testing.T) {
	nobody := func(string) bool { return false }
	ledger := NewLedger()
	ledger.Of("rests").AskRest(0, 10*time.Second)
	ledger.Of("leaves").SayLeaving(0)
	ledger.Of("asked nothing")
	ledger.Keep(9*time.Second, nobody)
	require.Len(t, ledger.signals, 2)
	require.Equal(t, time.Second, ledger.Of("rests").Rest(9*time.Second))
	require.True(t, ledger.Of("leaves").Leaving())
	require.Zero(t, ledger.Of("rests, started again").Rest(9*time.Second))
	ledger.Keep(11*time.Second, nobody)
	require.Len(t, ledger.signals, 1)
	ledger.Keep(leavingMemory+time.Second, func(identity string) bool { return identity == "leaves" })
	require.True(t, ledger.Of("leaves").Leaving(), "listed ones are never forgotten")
	ledger.Keep(leavingMemory+time.Second, nobody)
	require.Empty(t, ledger.signals)
}
