package cell

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// One lost datagram changes nothing; a relay that stays silent is passed over, longer each time,
// and is asked again after that.
func TestSilentOwnersArePassedOver(t *testing.T) {
	health := NewHealth()
	require.False(t, health.RecordTimeout(0, "one"))
	require.True(t, health.IsTrusted(0, "one"))
	require.True(t, health.RecordTimeout(0, "one"))
	require.False(t, health.IsTrusted(firstDoubt-1, "one"))
	require.True(t, health.IsTrusted(firstDoubt, "one"))
	require.True(t, health.IsTrusted(0, "other"))

	require.True(t, health.RecordTimeout(firstDoubt, "one"))
	require.False(t, health.IsTrusted(firstDoubt+2*firstDoubt-1, "one"))
	for range 20 {
		health.RecordTimeout(0, "one")
	}
	require.True(t, health.IsTrusted(longestDoubt, "one"))
}

// An answer ends all doubt, and a relay that is gone is forgotten.
func TestDoubtEnds(t *testing.T) {
	health := NewHealth()
	for _, relay := range []string{"one", "two"} {
		health.RecordTimeout(0, relay)
		health.RecordTimeout(0, relay)
	}
	health.RecordAnswer("one", time.Millisecond)
	require.True(t, health.IsTrusted(0, "one"))
	require.False(t, health.RecordTimeout(0, "one"), "misses in a row count")
	health.Retain(func(relay string) bool { return relay != "two" })
	require.True(t, health.IsTrusted(0, "two"))
}

// The time that an answer may take follows the round trips within its bounds: owners in another
// region are waited for, and one slow answer among fast ones is not.
func TestTimeoutFollowsRoundTrips(t *testing.T) {
	for name, row := range map[string]struct {
		trip        time.Duration
		least, most time.Duration
	}{
		"one zone":       {trip: 500 * time.Microsecond, least: leastTimeout, most: leastTimeout},
		"another region": {trip: 40 * time.Millisecond, least: 40 * time.Millisecond, most: 60 * time.Millisecond},
		"far too slow":   {trip: time.Second, least: mostTimeout, most: mostTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			health := NewHealth()
			require.Equal(t, firstTimeout, health.Timeout())
			for range 50 {
				health.RecordAnswer("one", row.trip)
			}
			require.GreaterOrEqual(t, health.Timeout(), row.least)
			require.LessOrEqual(t, health.Timeout(), row.most)
		})
	}
}
