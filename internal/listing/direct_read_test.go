package listing

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// readings counts how often relays read the list within a time without a leader.
func readings(relays, calls int, holdsList bool, span time.Duration) int {
	count := 0
	for relay := range relays {
		own := DirectRead{}
		draw := func() float64 { return float64(relay) / float64(relays) }
		for now := time.Duration(0); now < span; now += 40 * time.Millisecond {
			if own.IsDue(now, 0, holdsList, relays*calls, draw) {
				count++
			}
		}
	}
	return count
}

// However many relays there are, the list is not read more often by all of them than it can take.
func TestOwnReadingsOfTheListAreBounded(t *testing.T) {
	const span = 11 * time.Second
	require.Equal(t, 7*14, readings(7, 1, true, span), "few relays read every 0.8 s")
	for _, calls := range []int{4, 10, 50} {
		for _, relays := range []int{100, 300, 1000} {
			require.InDelta(t, 11*ownCallsPerSecond, calls*readings(relays, calls, true, span), 2*ownCallsPerSecond, "%d relays, %d pages", relays, calls)
		}
	}
}

// A relay that starts gives the controllers time to tell it the list, and reads it then at once.
func TestOwnReadingAtTheStart(t *testing.T) {
	own := DirectRead{}
	never := func() float64 { t.Fatal("one without a list is not kept waiting"); return 0 }
	require.False(t, own.IsDue(DirectReadAfter-1, DirectReadAfter, false, 300, never))
	require.True(t, own.IsDue(DirectReadAfter, DirectReadAfter, false, 300, never))
	require.False(t, own.IsDue(DirectReadAfter+ownInterval, DirectReadAfter, false, 300, never))
}

// A leader that is heard again ends the relay's own readings.
func TestLeaderEndsOwnReadings(t *testing.T) {
	own := DirectRead{}
	half := func() float64 { return 0.5 }
	require.True(t, own.IsDue(2*time.Second, 0, true, 7, half))
	require.False(t, own.IsDue(4*time.Second, 4500*time.Millisecond, true, 7, half))
	require.False(t, own.planned)
}
