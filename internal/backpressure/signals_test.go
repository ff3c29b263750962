package backpressure

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestBackoffEndsOnTime(t *testing.T) {
	signals := &Signals{}
	require.Zero(t, signals.RemainingBackoff(0))
	signals.ExtendBackoff(time.Second, 3*time.Second)
	require.Equal(t, 3*time.Second, signals.RemainingBackoff(time.Second))
	require.Equal(t, time.Nanosecond, signals.RemainingBackoff(4*time.Second-1))
	require.Zero(t, signals.RemainingBackoff(4*time.Second))
}

// Each backoff lasts until its end, regardless of earlier and later ones.
func TestNoRestIsCutShort(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		signals := &Signals{}
		now, latest := time.Duration(0), time.Duration(0)
		for range rapid.IntRange(1, 20).Draw(t, "answers") {
			now += time.Duration(rapid.Int64Range(0, int64(5*time.Second)).Draw(t, "pause"))
			backoff := time.Duration(rapid.Int64Range(1, int64(4*time.Second)).Draw(t, "rest"))
			signals.ExtendBackoff(now, backoff)
			latest = max(latest, now+backoff)
			if signals.RemainingBackoff(now) != latest-now {
				t.Fatalf("at %v: remaining backoff is %v, not %v", now, signals.RemainingBackoff(now), latest-now)
			}
		}
	})
}

func TestLeavingIsForGood(t *testing.T) {
	signals := &Signals{}
	require.False(t, signals.IsLeaving())
	require.True(t, signals.MarkLeaving(0))
	require.True(t, signals.IsLeaving())
	require.False(t, signals.MarkLeaving(time.Second), "already leaving")
}

// A back end that is temporarily unlisted keeps its signals; another incarnation, which has another identity, has none.
func TestSignalsAreRetainedWhileUnlisted(t *testing.T) {
	noneListed := func(string) bool { return false }
	registry := NewRegistry()
	registry.SignalsOf("rests").ExtendBackoff(0, 10*time.Second)
	registry.SignalsOf("leaves").MarkLeaving(0)
	registry.SignalsOf("asked nothing")
	registry.RemoveUnlisted(9*time.Second, noneListed)
	require.Len(t, registry.signals, 2)
	require.Equal(t, time.Second, registry.SignalsOf("rests").RemainingBackoff(9*time.Second))
	require.True(t, registry.SignalsOf("leaves").IsLeaving())
	require.Zero(t, registry.SignalsOf("rests, started again").RemainingBackoff(9*time.Second))
	registry.RemoveUnlisted(11*time.Second, noneListed)
	require.Len(t, registry.signals, 1)
	registry.RemoveUnlisted(leavingRetention+time.Second, func(identity string) bool { return identity == "leaves" })
	require.True(t, registry.SignalsOf("leaves").IsLeaving(), "listed back ends are never removed")
	registry.RemoveUnlisted(leavingRetention+time.Second, noneListed)
	require.Empty(t, registry.signals)
}
