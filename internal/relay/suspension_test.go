package relay

import (
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/serving"
)

// suspension returns how long the relay's machine was suspended, in nanoseconds, for the test to change.
func (r *testRelay) suspension() *atomic.Int64 {
	r.lastContactAt.Store(int64(r.clock.now()))
	return r.suspendedFor
}

// After a suspension, a relay does not treat its former view as fresh.
func TestASuspendedRelaysViewIsOld(t *testing.T) {
	relay := newTestRelay(t, route(nil), startBackEnd(t, "one", serving.StageWhole, answering(200, "ok")))
	suspension := relay.suspension()
	require.Equal(t, 404, relay.client(t).do("GET", "/unknown/", "").status)
	suspension.Add(int64(5 * time.Second))
	require.Equal(t, 503, relay.client(t).do("GET", "/unknown/", "").status, "a newer configuration may have the route")
}

// The time of a suspension counts towards a connection's idle time.
func TestConnectionsRestWhileTheMachineIsSuspended(t *testing.T) {
	var connections atomic.Int64
	backEnd := startBackEnd(t, "one", serving.StageWhole, func(connection net.Conn, request backEndRequest) bool {
		if request.number == 1 {
			connections.Add(1)
		}
		writeAnswer(connection, request, 200, "ok")
		return true
	})
	relay := newTestRelay(t, route(nil), backEnd)
	suspension := relay.suspension()
	client := relay.client(t)
	for range 3 {
		require.Equal(t, 200, client.do("POST", "/path/", "x").status)
	}
	require.Equal(t, int64(1), connections.Load())
	// The connection is returned to the pool after the client has its answer; it must be there before the suspension.
	pool := &relay.view.Load().byService["service"][0].pool
	require.Eventually(t, func() bool { return pool.HasIdle(relay.clock.now(), unsafeIdleLimit) }, time.Minute, time.Millisecond)
	suspension.Add(int64(2 * time.Second))
	require.Equal(t, 200, client.do("POST", "/path/", "x").status)
	require.Equal(t, int64(2), connections.Load())
}

// A request's deadline includes the time of a suspension: its exchange ends at the deadline, not later by the length of the
// suspension.
func TestARequestsTimeGoesOnWhileTheMachineIsSuspended(t *testing.T) {
	arrived := make(chan struct{})
	backEnd := startBackEnd(t, "one", serving.StageWhole, func(net.Conn, backEndRequest) bool {
		close(arrived)
		<-t.Context().Done()
		return false
	})
	relay := newTestRelay(t, route(func(config *serving.Route) { config.Timeout = time.Hour }), backEnd)
	suspension := relay.suspension()
	go relay.clock.steady.Watch(t.Context(), relay.handleSuspension)
	client := relay.client(t)
	client.send("POST", "/path/", "x")
	<-arrived
	suspension.Add(int64(time.Hour))
	require.Equal(t, 504, client.read().status)
}

// A leader's answer that arrived before or during a suspension is out of date afterwards.
func TestLeaderAnswerFromBeforeASuspensionIsStale(t *testing.T) {
	relay := newTestRelay(t, route(nil))
	suspension := relay.suspension()
	sentAt := relay.clock.now()
	require.False(t, relay.watcher.IsResponseStale(sentAt))
	suspension.Add(int64(5 * time.Second))
	require.True(t, relay.watcher.IsResponseStale(sentAt))
	relay.fleet.ApplyUpdate(&v1.WatchResponse{})
	require.Less(t, relay.clock.now()-relay.lastContact(), relay.maxContactAge(), "a new answer counts as contact")
}
