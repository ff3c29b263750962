package relay

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

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
