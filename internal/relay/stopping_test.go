package relay

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/internal/closing"
	"github.com/hazelpitch/hazelpitch/internal/serving"
)

// A request whose client disconnects before it has sent the whole body is not sent to any back end.
func TestARequestThatIsNeverReadWholeReachesNobody(t *testing.T) {
	backEnd := startBackEnd(t, "one", serving.StageWhole, answering(200, "ok"))
	relay := newTestRelay(t, route(safe), backEnd)
	connection, err := net.Dial("tcp", relay.address)
	require.NoError(t, err)
	_, err = io.WriteString(connection, "POST /path/ HTTP/1.1\r\nHost: test\r\nT-Id: x\r\nContent-Length: 10\r\n\r\nhalf")
	require.NoError(t, err)
	require.NoError(t, connection.Close())
	require.Equal(t, 200, relay.client(t).do("GET", "/path/", "").status)
	require.Len(t, backEnd.receivedRequests(), 1)
}

// A ready relay accepts new connections. A stopping relay first reports not ready, continues to accept connections for a
// while, and answers every request that it has forwarded.
func TestAStoppingRelayAnswersWhatItHasTaken(t *testing.T) {
	arrived, answer := make(chan struct{}, 1), make(chan struct{})
	backEnd := startBackEnd(t, "one", serving.StageWhole, func(connection net.Conn, request backEndRequest) bool {
		arrived <- struct{}{}
		<-answer
		writeAnswer(connection, request, 200, "whole")
		return true
	})
	relay := newTestRelay(t, route(nil), backEnd)
	ready := func() int {
		server := &http.Server{Handler: relay.readyHandler(), ReadHeaderTimeout: time.Second}
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		go func() { _ = server.Serve(listener) }()
		defer server.Close()
		response, err := http.Get("http://" + listener.Addr().String() + relay.dialect.ReadyPath)
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
		return response.StatusCode
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _ = relay.accept(ctx, listener) }()
	relay.address = listener.Addr().String()
	readyView := relay.view.Load()
	relay.view.Store(&view{table: readyView.table})
	require.Equal(t, 503, ready(), "no list of back ends is known")
	relay.view.Store(readyView)
	require.Equal(t, 200, ready())

	kept := relay.client(t)
	kept.send("POST", "/path/", "x")
	<-arrived
	relay.refuseNewAt.Store(int64(relay.clock.now() + time.Hour))
	relay.stopping.Store(true)
	require.Equal(t, 503, ready())
	late := relay.client(t) // connects before the platform has noticed that the relay is not ready
	late.send("POST", "/path/", "y")
	<-arrived
	close(answer)
	for _, client := range []*testClient{kept, late} {
		got := client.read()
		require.Equal(t, 200, got.status)
		require.Equal(t, "whole", got.body)
	}
}

// Guards against requests without an answer: on a machine under load, a relay had not read requests on new and on used
// connections when it closed its port.
func TestClientsThatReachAClosingPortAreAnswered(t *testing.T) {
	backEnd := startBackEnd(t, "one", serving.StageWhole, answering(200, "ok"))
	relay := newTestRelay(t, route(safe), backEnd)
	listener, err := closing.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	relay.address = listener.Addr().String()
	clients := make([]*testClient, 20)
	for number := range clients {
		clients[number] = relay.client(t)
		clients[number].send("GET", "/path/", "")
	}
	stopped := make(chan struct{})
	go func() {
		relay.drain(t.Context(), listener)
		close(stopped)
	}()
	require.Eventually(t, relay.refusesNewRequests, time.Minute, time.Millisecond)
	time.Sleep(time.Duration(float64(relay.settings.GracePeriod) * (minStayShare - closing.RefuseNewAfter + 0.1))) // the port is about to be closed
	go func() { _ = relay.accept(t.Context(), listener) }()
	for _, client := range clients {
		got := client.read()
		require.Equal(t, 503, got.status)
		require.True(t, got.head.ConnectionClose(), "the answer announces that the connection is closed")
	}
	<-stopped
	require.Zero(t, relay.connections.tracked.Len())
}
