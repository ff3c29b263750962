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

// A client that leaves before it has sent its request whole has nothing sent to any back end.
func TestARequestThatIsNeverReadWholeReachesNobody(t *testing.T) {
	backEnd := startBackEnd(t, "one", serving.StageWhole, answering(200, "ok"))
	relay := newTestRelay(t, route(safe), backEnd)
	connection, err := net.Dial("tcp", relay.address)
	require.NoError(t, err)
	_, err = io.WriteString(connection, "POST /path/ HTTP/1.1\r\nHost: test\r\nT-Id: x\r\nContent-Length: 10\r\n\r\nhalf")
	require.NoError(t, err)
	require.NoError(t, connection.Close())
	require.Equal(t, 200, relay.client(t).do("GET", "/path/", "").status)
	require.Len(t, backEnd.seen(), 1)
}

// A relay that says it is ready takes new connections; one that stops says so first and takes them on
// for a while, and answers every request that it has passed on.
func TestAStoppingRelayAnswersWhatItHasTaken(t *testing.T) {
	arrived, answer := make(chan struct{}, 1), make(chan struct{})
	backEnd := startBackEnd(t, "one", serving.StageWhole, func(connection net.Conn, request received) bool {
		arrived <- struct{}{}
		<-answer
		reply(connection, request, 200, "whole")
		return true
	})
	relay := newTestRelay(t, route(nil), backEnd)
	ready := func() int {
		server := &http.Server{Handler: relay.readyHandler(), ReadHeaderTimeout: time.Second}
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		go func() { _ = server.Serve(listener) }()
		defer server.Close()
		told, err := http.Get("http://" + listener.Addr().String() + relay.dialect.ReadyPath)
		require.NoError(t, err)
		require.NoError(t, told.Body.Close())
		return told.StatusCode
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _ = relay.accept(ctx, listener) }()
	relay.address = listener.Addr().String()
	known := relay.view.Load()
	relay.view.Store(&view{table: known.table})
	require.Equal(t, 503, ready(), "no list of back ends is known")
	relay.view.Store(known)
	require.Equal(t, 200, ready())

	kept := relay.client(t)
	kept.send("POST", "/path/", "x")
	<-arrived
	relay.stopAt.Store(int64(relay.clock.now() + time.Hour))
	relay.stopping.Store(true)
	require.Equal(t, 503, ready())
	late := relay.client(t) // it was sent here before the platform knew
	late.send("POST", "/path/", "y")
	<-arrived
	close(answer)
	for _, client := range []*testClient{kept, late} {
		got := client.read()
		require.Equal(t, 200, got.status)
		require.Equal(t, "whole", got.body)
	}
}

// Guards against clients whose connection, their first or one in use, held a request that a stopping relay had not read when it
// closed its port, and that got no answer: seen when the machine was so busy that the relay stood still.
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
	require.Eventually(t, relay.refusesNew, time.Minute, time.Millisecond)
	time.Sleep(time.Duration(float64(relay.settings.GracePeriod) * (leaveShare - refuseShare + 0.1))) // the port is about to close
	go func() { _ = relay.accept(t.Context(), listener) }()
	for _, client := range clients {
		got := client.read()
		require.Equal(t, 503, got.status)
		require.True(t, got.head.ConnectionClose(), "the client is told that its connection ends")
	}
	<-stopped
	require.Zero(t, relay.connections.tracked.Len())
}
