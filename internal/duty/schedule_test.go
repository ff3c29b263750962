package duty

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestCallsOnOneSubjectGoOneAfterAnother(t *testing.T) {
	schedule := NewSchedule(Config{Interval: 100 * time.Millisecond, Pause: time.Second})
	require.True(t, schedule.May(0, "usage"))
	schedule.Began(0, "usage")
	require.False(t, schedule.May(time.Hour, "usage"), "its answer may still come")
	require.False(t, schedule.May(99*time.Millisecond, "scale"), "the platform takes so many calls")
	require.True(t, schedule.May(100*time.Millisecond, "scale"), "another subject waits for no answer")
	schedule.Answered(time.Second, "usage", Taken)
	require.True(t, schedule.May(time.Second, "usage"))
}

func TestWhatWasNotTakenIsCalledAgainAfterAPause(t *testing.T) {
	for _, outcome := range []Outcome{Lost, Refused} {
		schedule := NewSchedule(Config{Pause: time.Second})
		schedule.Began(0, "usage")
		schedule.Answered(2*time.Second, "usage", outcome)
		require.False(t, schedule.May(3*time.Second-1, "usage"), outcome)
		require.True(t, schedule.May(3*time.Second, "usage"), outcome)
	}
}

// A holder that was overtaken on a subject never calls on it again; others are another thing.
func TestAnOvertakenHolderStops(t *testing.T) {
	schedule := NewSchedule(Config{})
	schedule.Began(0, "usage")
	schedule.Answered(0, "usage", Overtaken)
	require.True(t, schedule.Overtaken("usage"))
	require.False(t, schedule.May(time.Hour, "usage"))
	require.True(t, schedule.May(0, "scale"))
}
