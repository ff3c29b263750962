package backpressure

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Answers on different connections pass each other: one to a request that was sent before a limit was known lifts
// nothing and raises nothing, a smaller limit holds at once.
func TestOlderAnswersRaiseNoLimit(t *testing.T) {
	limit := func(perSecond float64) Limit { return Limit{IsSet: true, PerSecond: perSecond} }
	signals := &Signals{}
	require.False(t, signals.RecordBackEndLimit(0, 0, Limit{}), "no news")
	require.True(t, signals.RecordBackEndLimit(10*time.Second, 9*time.Second, limit(5)))
	require.False(t, signals.RecordBackEndLimit(11*time.Second, 9*time.Second, Limit{}))
	require.False(t, signals.RecordBackEndLimit(11*time.Second, 9*time.Second, limit(7)))
	require.True(t, signals.RecordBackEndLimit(11*time.Second, 9*time.Second, limit(3)))
	held, own := signals.Limit()
	require.Equal(t, limit(3), held)
	require.True(t, own)
	require.True(t, signals.RecordBackEndLimit(12*time.Second, 11*time.Second, Limit{}))
	held, _ = signals.Limit()
	require.Equal(t, Limit{}, held)
}

// A wait for permits ends with the limit, and what another process tells is not the back end's own word.
func TestWaitsForPermitsEndWithTheLimit(t *testing.T) {
	signals := &Signals{}
	signals.DelayPermits(time.Minute)
	require.Zero(t, signals.PermitWait(0), "there is no limit")
	require.True(t, signals.RecordPeerLimit(0, Limit{IsSet: true, PerSecond: 1}))
	_, own := signals.Limit()
	require.False(t, own)
	signals.DelayPermits(2 * time.Second)
	signals.DelayPermits(time.Second)
	require.Equal(t, time.Second, signals.PermitWait(time.Second))
	require.False(t, signals.RecordBackEndLimit(time.Second, 0, Limit{IsSet: true, PerSecond: 1}))
	_, own = signals.Limit()
	require.True(t, own)
	require.True(t, signals.RecordPeerLimit(time.Second, Limit{}))
	require.Zero(t, signals.PermitWait(time.Second))
}

// A limit outlives an absence from the list for a while.
func TestLimitsOutliveAnAbsenceFromTheList(t *testing.T) {
	nobody := func(string) bool { return false }
	ledger := NewRegistry()
	ledger.SignalsOf("limited").RecordBackEndLimit(0, 0, Limit{IsSet: true, PerSecond: 1})
	ledger.RemoveUnlisted(limitMemory, nobody)
	require.Equal(t, 1, ledger.Len())
	ledger.RemoveUnlisted(limitMemory+time.Second, nobody)
	require.Zero(t, ledger.Len())
}
