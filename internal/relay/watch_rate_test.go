package relay

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// The leader answers about the same number of watches per second for any number of relays, and relays do not consider the
// leader lost before its answers can arrive.
func TestWatchesSlowDownAsRelaysGrow(t *testing.T) {
	relay := newTestRelay(t, route(nil), startBackEnd(t, "one", 0, refusing(503)))
	for relays, wait := range map[int64]string{0: "400ms", 7: "400ms", 120: "400ms", 240: "800ms", 300: "1s", 5000: "1s"} {
		relay.relayCount.Store(relays)
		require.Equal(t, wait, relay.watcher.Wait().String())
		require.Greater(t, relay.maxContactAge(), relay.watcher.Wait())
	}
}
