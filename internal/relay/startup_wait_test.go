package relay

import (
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/internal/serving"
)

// Pattern: all processes were killed, and clients come back to relays that have started and know nothing for a
// tenth of a second. A client that is told to come back in a second is late; one that waits is served.
func TestRequestRightAfterTheStartIsServed(t *testing.T) {
	relay := newTestRelay(t, route(nil), startBackEnd(t, "one", serving.StageWhole, answering(200, "ok")))
	known := relay.view.Load()
	relay.view.Store(&view{byService: map[string][]*backEnd{}})
	relay.startupWait = time.Hour
	client := relay.client(t)
	client.send("GET", "/path/", "")
	require.Eventually(t, func() bool { return testutil.ToFloat64(relay.metrics.startupWaits) == 1 }, time.Minute, time.Millisecond)
	relay.setView(known)
	require.Equal(t, 200, client.read().status)
	require.Equal(t, 200, client.do("GET", "/path/", "").status)
	require.EqualValues(t, 1, testutil.ToFloat64(relay.metrics.startupWaits), "nobody waits any more")
}

// A relay that goes on knowing nothing refuses soon, and spreads those who come back.
func TestRequestsAreRefusedWhereNothingBecomesKnown(t *testing.T) {
	relay := newTestRelay(t, route(nil))
	relay.view.Store(&view{byService: map[string][]*backEnd{}})
	relay.startupWait = time.Millisecond
	require.Equal(t, 503, relay.client(t).do("GET", "/path/", "").status)
	first, last := missingConfiguration.refusal(0), missingConfiguration.refusal(0.999)
	require.Equal(t, retryAfterStartup, first.retryAfter)
	require.Greater(t, last.retryAfter, first.retryAfter+retryStartupSpread/2)
	require.True(t, first.promisesNotRun())
}

// One whose client leaves meanwhile is let go.
func TestRequestWhoseClientLeavesDoesNotWait(t *testing.T) {
	relay := newTestRelay(t, route(nil))
	relay.view.Store(&view{byService: map[string][]*backEnd{}})
	relay.startupWait = time.Hour
	client := relay.client(t)
	client.send("GET", "/path/", "")
	require.Eventually(t, func() bool { return testutil.ToFloat64(relay.metrics.startupWaits) == 1 }, time.Minute, time.Millisecond)
	require.NoError(t, client.connection.Close())
	require.Eventually(t, func() bool { return relay.connections.servingCount() == 0 }, time.Minute, time.Millisecond)
}
