package backpressure

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Responses on different connections may arrive out of order. A response to a request that was sent before the current limit
// was known must neither remove nor raise the limit, while a smaller limit applies immediately.
func TestOlderAnswersDoNotRaiseLimit(t *testing.T) {
	limit := func(perSecond float64) Limit { return Limit{IsSet: true, PerSecond: perSecond} }
	signals := &Signals{}
	require.False(t, signals.RecordBackEndLimit(0, 0, Limit{}), "no change")
	require.True(t, signals.RecordBackEndLimit(10*time.Second, 9*time.Second, limit(5)))
	require.False(t, signals.RecordBackEndLimit(11*time.Second, 9*time.Second, Limit{}))
	require.False(t, signals.RecordBackEndLimit(11*time.Second, 9*time.Second, limit(7)))
	require.True(t, signals.RecordBackEndLimit(11*time.Second, 9*time.Second, limit(3)))
	current, fromBackEnd := signals.Limit()
	require.Equal(t, limit(3), current)
	require.True(t, fromBackEnd)
	require.True(t, signals.RecordBackEndLimit(12*time.Second, 11*time.Second, Limit{}))
	current, _ = signals.Limit()
	require.Equal(t, Limit{}, current)
}

// A permit wait ends when the limit changes, and a limit from another process does not count as named by the back end.
func TestPermitWaitEndsWithTheLimit(t *testing.T) {
	signals := &Signals{}
	signals.DelayPermits(time.Minute)
	require.Zero(t, signals.PermitWait(0), "there is no limit")
	require.True(t, signals.RecordPeerLimit(0, Limit{IsSet: true, PerSecond: 1}))
	_, fromBackEnd := signals.Limit()
	require.False(t, fromBackEnd)
	signals.DelayPermits(2 * time.Second)
	signals.DelayPermits(time.Second)
	require.Equal(t, time.Second, signals.PermitWait(time.Second))
	require.False(t, signals.RecordBackEndLimit(time.Second, 0, Limit{IsSet: true, PerSecond: 1}))
	_, fromBackEnd = signals.Limit()
	require.True(t, fromBackEnd)
	require.True(t, signals.RecordPeerLimit(time.Second, Limit{}))
	require.Zero(t, signals.PermitWait(time.Second))
}

// The limit of an unlisted back end is stored for limitRetention.
func TestLimitIsRetainedWhileUnlisted(t *testing.T) {
	noneListed := func(string) bool { return false }
	registry := NewRegistry()
	registry.SignalsOf("limited").RecordBackEndLimit(0, 0, Limit{IsSet: true, PerSecond: 1})
	registry.RemoveUnlisted(limitRetention, noneListed)
	require.Equal(t, 1, registry.Len())
	registry.RemoveUnlisted(limitRetention+time.Second, noneListed)
	require.Zero(t, registry.Len())
}
