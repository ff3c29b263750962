package relay

import (
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/internal/serving"
)

// After all processes were killed, clients reach relays that have no configuration and list for a tenth of a second. A
// client that is asked to retry in a second would miss its target; a request that waits is served.
func TestRequestDuringStartupWaitsAndIsServed(t *testing.T) {
	relay := newTestRelay(t, route(nil), startBackEnd(t, "one", serving.StageWhole, answering(200, "ok")))
	readyView := relay.view.Load()
	relay.view.Store(&view{byService: map[string][]*backEnd{}})
	relay.startupWait = time.Hour
	client := relay.client(t)
	client.send("GET", "/path/", "")
	require.Eventually(t, func() bool { return testutil.ToFloat64(relay.metrics.startupWaits) == 1 }, time.Minute, time.Millisecond)
	relay.setView(readyView)
	require.Equal(t, 200, client.read().status)
	require.Equal(t, 200, client.do("GET", "/path/", "").status)
	require.EqualValues(t, 1, testutil.ToFloat64(relay.metrics.startupWaits), "the second request did not wait")
}

// A relay that stays without a configuration refuses requests after a short wait, and spreads the retries.
func TestRequestsAreRefusedAfterTheStartupWait(t *testing.T) {
	relay := newTestRelay(t, route(nil))
	relay.view.Store(&view{byService: map[string][]*backEnd{}})
	relay.startupWait = time.Millisecond
	require.Equal(t, 503, relay.client(t).do("GET", "/path/", "").status)
	first, last := missingConfiguration.refusal(0), missingConfiguration.refusal(0.999)
	require.Equal(t, retryAfterStartup, first.retryAfter)
	require.Greater(t, last.retryAfter, first.retryAfter+retryStartupSpread/2)
	require.True(t, first.promisesNotRun())
}

// The wait of a request ends when its client disconnects.
func TestDisconnectedClientEndsTheStartupWait(t *testing.T) {
	relay := newTestRelay(t, route(nil))
	relay.view.Store(&view{byService: map[string][]*backEnd{}})
	relay.startupWait = time.Hour
	client := relay.client(t)
	client.send("GET", "/path/", "")
	require.Eventually(t, func() bool { return testutil.ToFloat64(relay.metrics.startupWaits) == 1 }, time.Minute, time.Millisecond)
	require.NoError(t, client.connection.Close())
	require.Eventually(t, func() bool { return relay.connections.servingCount() == 0 }, time.Minute, time.Millisecond)
}
