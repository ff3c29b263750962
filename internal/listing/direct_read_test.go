package listing

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// countReads returns how often all relays together read the list during a span without a leader.
func countReads(relays, calls int, hasList bool, span time.Duration) int {
	count := 0
	for relay := range relays {
		read := DirectRead{}
		draw := func() float64 { return float64(relay) / float64(relays) }
		for now := time.Duration(0); now < span; now += 40 * time.Millisecond {
			if read.IsDue(now, 0, hasList, relays*calls, draw) {
				count++
			}
		}
	}
	return count
}

// All relays together must not read the list more often than the platform accepts, for any number of relays.
func TestOwnReadingsOfTheListAreBounded(t *testing.T) {
	const span = 11 * time.Second
	require.Equal(t, 7*14, countReads(7, 1, true, span), "few relays must read every 0.8 s")
	for _, calls := range []int{4, 10, 50} {
		for _, relays := range []int{100, 300, 1000} {
			require.InDelta(t, 11*directCallsPerSecond, calls*countReads(relays, calls, true, span), 2*directCallsPerSecond, "%d relays, %d pages", relays, calls)
		}
	}
}

// A relay that starts gives the controllers time to send the list, and must then read it at once.
func TestDirectReadAtStart(t *testing.T) {
	read := DirectRead{}
	never := func() float64 { t.Fatal("a relay without a list must not be delayed"); return 0 }
	require.False(t, read.IsDue(DirectReadAfter-1, DirectReadAfter, false, 300, never))
	require.True(t, read.IsDue(DirectReadAfter, DirectReadAfter, false, 300, never))
	require.False(t, read.IsDue(DirectReadAfter+minimumDirectInterval, DirectReadAfter, false, 300, never))
}

// Contact with a leader must end the relay's own reads.
func TestLeaderContactEndsDirectReads(t *testing.T) {
	read := DirectRead{}
	half := func() float64 { return 0.5 }
	require.True(t, read.IsDue(2*time.Second, 0, true, 7, half))
	require.False(t, read.IsDue(4*time.Second, 4500*time.Millisecond, true, 7, half))
	require.False(t, read.scheduled)
}
