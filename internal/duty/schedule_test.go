package duty

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestCallsOnOneSubjectAreSerialized(t *testing.T) {
	schedule := NewSchedule(Config{Interval: 100 * time.Millisecond, RetryDelay: time.Second})
	require.True(t, schedule.MayCall(0, "usage"))
	schedule.RecordStart(0, "usage")
	require.False(t, schedule.MayCall(time.Hour, "usage"), "the call on this subject is still in flight")
	require.False(t, schedule.MayCall(99*time.Millisecond, "scale"), "the minimum interval holds across subjects")
	require.True(t, schedule.MayCall(100*time.Millisecond, "scale"), "another subject does not wait for that answer")
	schedule.RecordOutcome(time.Second, "usage", Accepted)
	require.True(t, schedule.MayCall(time.Second, "usage"))
}

func TestUnacceptedCallIsRetriedAfterTheDelay(t *testing.T) {
	for _, outcome := range []Outcome{Lost, Refused} {
		schedule := NewSchedule(Config{RetryDelay: time.Second})
		schedule.RecordStart(0, "usage")
		schedule.RecordOutcome(2*time.Second, "usage", outcome)
		require.False(t, schedule.MayCall(3*time.Second-1, "usage"), outcome)
		require.True(t, schedule.MayCall(3*time.Second, "usage"), outcome)
	}
}

// A holder that was superseded on one subject never calls on it again, but still calls on other subjects.
func TestAnOvertakenHolderStops(t *testing.T) {
	schedule := NewSchedule(Config{})
	schedule.RecordStart(0, "usage")
	schedule.RecordOutcome(0, "usage", Superseded)
	require.True(t, schedule.IsSuperseded("usage"))
	require.False(t, schedule.MayCall(time.Hour, "usage"))
	require.True(t, schedule.MayCall(0, "scale"))
}
