package relay

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/api/hazelpitch/v1/hazelpitchv1connect"
)

// A relay that holds nothing waits longer each time that an answer does not come; one that holds a view
// asks another controller soon.
func TestARelayWithoutAViewGrowsPatient(t *testing.T) {
	waits := &patience{}
	for _, want := range []time.Duration{time.Second, 2 * time.Second, 4 * time.Second, 4 * time.Second} {
		require.Equal(t, want, waits.slack(false))
		require.Equal(t, watchSlack, waits.slack(true))
		waits.missedAnswer()
	}
	for range 100 {
		waits.missedAnswer()
	}
	require.Equal(t, longestPatience, waits.slack(false))
	waits.answered()
	require.Equal(t, firstPatience, waits.slack(false))
}

// What a controller answers within the patience counts, and what comes later is asked for again.
func TestALateAnswerIsJudgedByThePatience(t *testing.T) {
	relay := newTestRelay(t, route(nil))
	held := relay.view.Load()
	away := relay.suspendable()
	asked := relay.clock.now()
	away.Add(int64(relay.watcher.wait() + firstPatience - 50*time.Millisecond))
	require.True(t, relay.watcher.lateAnswer(asked), "a view is held")
	relay.view.Store(&view{})
	require.False(t, relay.watcher.lateAnswer(asked), "a whole answer takes longer")
	away.Add(int64(time.Second))
	require.True(t, relay.watcher.lateAnswer(asked))
	relay.view.Store(held)
}

// behindController is a controller that does not lead, and says so at once.
type behindController struct {
	hazelpitchv1connect.UnimplementedNodeServiceHandler
	leads atomic.Bool
}

func (c *behindController) Watch(context.Context, *connect.Request[v1.WatchRequest]) (*connect.Response[v1.WatchResponse], error) {
	return connect.NewResponse(&v1.WatchResponse{Behind: !c.leads.Load()}), nil
}

// A relay that missed the leader's answers asks others in between, which answer at once. That does not
// make it impatient with the leader again.
func TestTheWordOfAControllerThatDoesNotLeadLeavesThePatience(t *testing.T) {
	controller := &behindController{}
	routes := http.NewServeMux()
	routes.Handle(hazelpitchv1connect.NewNodeServiceHandler(controller))
	server := httptest.NewUnstartedServer(routes)
	server.Config.Protocols = new(http.Protocols)
	server.Config.Protocols.SetUnencryptedHTTP2(true)
	server.Start()
	t.Cleanup(server.Close)
	relay := newTestRelay(t, route(nil))
	relay.watcher.controllers = []string{strings.TrimPrefix(server.URL, "http://")}
	relay.watcher.seeds.Store(&relay.watcher.controllers)
	relay.watcher.patience.missed = 2
	require.False(t, relay.watcher.watchOnce(t.Context()))
	require.Equal(t, 2, relay.watcher.patience.missed)
	controller.leads.Store(true)
	require.True(t, relay.watcher.watchOnce(t.Context()))
	require.Zero(t, relay.watcher.patience.missed)
}
