package duty

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestCallsOnOneSubjectGoOneAfterAnother(t *testing.T) {
	schedule := NewSchedule(Config{Interval: 100 * time.Millisecond, RetryDelay: time.Second})
	require.True(t, schedule.MayCall(0, "usage"))
	schedule.RecordStart(0, "usage")
	require.False(t, schedule.MayCall(time.Hour, "usage"), "its answer may still come")
	require.False(t, schedule.MayCall(99*time.Millisecond, "scale"), "the platform takes so many calls")
	require.True(t, schedule.MayCall(100*time.Millisecond, "scale"), "another subject waits for no answer")
	schedule.RecordOutcome(time.Second, "usage", Accepted)
	require.True(t, schedule.MayCall(time.Second, "usage"))
}

func TestWhatWasNotTakenIsCalledAgainAfterAPause(t *testing.T) {
	for _, outcome := range []Outcome{Lost, Refused} {
		schedule := NewSchedule(Config{RetryDelay: time.Second})
		schedule.RecordStart(0, "usage")
		schedule.RecordOutcome(2*time.Second, "usage", outcome)
		require.False(t, schedule.MayCall(3*time.Second-1, "usage"), outcome)
		require.True(t, schedule.MayCall(3*time.Second, "usage"), outcome)
	}
}

// A holder that was overtaken on a subject never calls on it again; others are another thing.
func TestAnOvertakenHolderStops(t *testing.T) {
	schedule := NewSchedule(Config{})
	schedule.RecordStart(0, "usage")
	schedule.RecordOutcome(0, "usage", Superseded)
	require.True(t, schedule.Superseded("usage"))
	require.False(t, schedule.MayCall(time.Hour, "usage"))
	require.True(t, schedule.MayCall(0, "scale"))
}
