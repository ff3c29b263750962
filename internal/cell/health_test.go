package cell

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// One lost datagram has no effect. A relay that does not answer is skipped, for longer each time, and is queried
// again after that.
func TestSilentOwnersAreSkipped(t *testing.T) {
	health := NewHealth()
	require.False(t, health.RecordTimeout(0, "one"))
	require.True(t, health.IsTrusted(0, "one"))
	require.True(t, health.RecordTimeout(0, "one"))
	require.False(t, health.IsTrusted(initialSkip-1, "one"))
	require.True(t, health.IsTrusted(initialSkip, "one"))
	require.True(t, health.IsTrusted(0, "other"))

	require.True(t, health.RecordTimeout(initialSkip, "one"))
	require.False(t, health.IsTrusted(initialSkip+2*initialSkip-1, "one"))
	for range 20 {
		health.RecordTimeout(0, "one")
	}
	require.True(t, health.IsTrusted(maxSkip, "one"))
}

// An answer ends the skipping of a relay, and relays that are not listed are removed.
func TestAnswerEndsSkipping(t *testing.T) {
	health := NewHealth()
	for _, relay := range []string{"one", "two"} {
		health.RecordTimeout(0, relay)
		health.RecordTimeout(0, relay)
	}
	health.RecordAnswer("one", time.Millisecond)
	require.True(t, health.IsTrusted(0, "one"))
	require.False(t, health.RecordTimeout(0, "one"), "only consecutive timeouts count")
	health.Retain(func(relay string) bool { return relay != "two" })
	require.True(t, health.IsTrusted(0, "two"))
}

// The timeout follows the round trips within its bounds: it is long enough for owners in another region, and short
// where answers are fast.
func TestTimeoutFollowsRoundTrips(t *testing.T) {
	for name, row := range map[string]struct {
		rtt             time.Duration
		atLeast, atMost time.Duration
	}{
		"one zone":       {rtt: 500 * time.Microsecond, atLeast: minTimeout, atMost: minTimeout},
		"another region": {rtt: 40 * time.Millisecond, atLeast: 40 * time.Millisecond, atMost: 60 * time.Millisecond},
		"far too slow":   {rtt: time.Second, atLeast: maxTimeout, atMost: maxTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			health := NewHealth()
			require.Equal(t, initialTimeout, health.Timeout())
			for range 50 {
				health.RecordAnswer("one", row.rtt)
			}
			require.GreaterOrEqual(t, health.Timeout(), row.atLeast)
			require.LessOrEqual(t, health.Timeout(), row.atMost)
		})
	}
}
