package duty

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestCallsOnOneMatterGoOneAfterAnother(t *testing.T) {
	desk := NewDesk(Config{Interval: 100 * time.Millisecond, Pause: time.Second})
	require.True(t, desk.May(0, "usage"))
	desk.Began(0, "usage")
	require.False(t, desk.May(time.Hour, "usage"), "its answer may still come")
	require.False(t, desk.May(99*time.Millisecond, "scale"), "the platform takes so many calls")
	require.True(t, desk.May(100*time.Millisecond, "scale"), "another matter waits for no answer")
	desk.Answered(time.Second, "usage", Taken)
	require.True(t, desk.May(time.Second, "usage"))
}

func TestWhatWasNotTakenIsCalledAgainAfterAPause(t *testing.T) {
	for _, outcome := range []Outcome{Lost, Refused} {
		desk := NewDesk(Config{Pause: time.Second})
		desk.Began(0, "usage")
		desk.Answered(2*time.Second, "usage", outcome)
		require.False(t, desk.May(3*time.Second-1, "usage"), outcome)
		require.True(t, desk.May(3*time.Second, "usage"), outcome)
	}
}

// A holder that was overtaken on a matter never calls on it again; others are another thing.
func TestAnOvertakenHolderStops(t *testing.T) {
	desk := NewDesk(Config{})
	desk.Began(0, "usage")
	desk.Answered(0, "usage", Overtaken)
	require.True(t, desk.Overtaken("usage"))
	require.False(t, desk.May(time.Hour, "usage"))
	require.True(t, desk.May(0, "scale"))
}
