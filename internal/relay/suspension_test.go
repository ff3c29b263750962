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

// suspendable returns for how long the relay's machine was suspended, in nanoseconds, which a test may change.
func (r *testRelay) suspendable() *atomic.Int64 {
	r.lastContactAt.Store(int64(r.clock.now()))
	return r.away
}

// A relay that was suspended does not take for fresh what it believed before.
func TestASuspendedRelaysViewIsOld(t *testing.T) {
	relay := newTestRelay(t, route(nil), startBackEnd(t, "one", serving.StageWhole, answering(200, "ok")))
	away := relay.suspendable()
	require.Equal(t, 404, relay.client(t).do("GET", "/unknown/", "").status)
	away.Add(int64(5 * time.Second))
	require.Equal(t, 503, relay.client(t).do("GET", "/unknown/", "").status, "a newer configuration may have the route")
}

// A connection that rested while the machine was suspended has rested for that long.
func TestConnectionsRestWhileTheMachineIsSuspended(t *testing.T) {
	var connections atomic.Int64
	backEnd := startBackEnd(t, "one", serving.StageWhole, func(connection net.Conn, request received) bool {
		if request.number == 1 {
			connections.Add(1)
		}
		reply(connection, request, 200, "ok")
		return true
	})
	relay := newTestRelay(t, route(nil), backEnd)
	away := relay.suspendable()
	client := relay.client(t)
	for range 3 {
		require.Equal(t, 200, client.do("POST", "/path/", "x").status)
	}
	require.Equal(t, int64(1), connections.Load())
	// The connection is put back after the client has its answer: it must rest before the machine does.
	pool := &relay.view.Load().byService["service"][0].pool
	require.Eventually(t, func() bool { return pool.HasIdle(relay.clock.now(), unsafeIdleLimit) }, time.Minute, time.Millisecond)
	away.Add(int64(2 * time.Second))
	require.Equal(t, 200, client.do("POST", "/path/", "x").status)
	require.Equal(t, int64(2), connections.Load())
}

// A request's time goes on while the machine is suspended: its exchange ends with it, and not as much
// later as the machine was away.
func TestARequestsTimeGoesOnWhileTheMachineIsSuspended(t *testing.T) {
	arrived := make(chan struct{})
	backEnd := startBackEnd(t, "one", serving.StageWhole, func(net.Conn, received) bool {
		close(arrived)
		<-t.Context().Done()
		return false
	})
	relay := newTestRelay(t, route(func(made *serving.Route) { made.Timeout = time.Hour }), backEnd)
	away := relay.suspendable()
	go relay.clock.steady.Watch(t.Context(), relay.handleSuspension)
	client := relay.client(t)
	client.send("POST", "/path/", "x")
	<-arrived
	away.Add(int64(time.Hour))
	require.Equal(t, 504, client.read().status)
}

// What a controller answered may have lain at this machine while it was suspended, and is old by then.
func TestAnAnswerThatLayAtASuspendedMachineIsOld(t *testing.T) {
	relay := newTestRelay(t, route(nil))
	away := relay.suspendable()
	asked := relay.clock.now()
	require.False(t, relay.watcher.IsResponseStale(asked))
	away.Add(int64(5 * time.Second))
	require.True(t, relay.watcher.IsResponseStale(asked))
	relay.fleet.ApplyUpdate(&v1.WatchResponse{})
	require.Less(t, relay.clock.now()-relay.lastContact(), relay.maxContactAge(), "one that is asked for anew counts")
}
