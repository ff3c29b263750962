package relay

import (
	"errors"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/hazelpitch/hazelpitch/internal/bodybudget"
	"github.com/hazelpitch/hazelpitch/internal/closing"
	"github.com/hazelpitch/hazelpitch/internal/serving"
)

// Guards against clients that send a request on a connection which a stopping relay is closing: the relay decided at a
// request's arrival whether to announce the close, so answers to requests that had arrived before the stop announced none.
func TestAnswersOfAStoppingRelayAnnounceTheClose(t *testing.T) {
	arrived, proceed := make(chan struct{}), make(chan struct{})
	backEnd := startBackEnd(t, "one", serving.StageWhole, func(connection net.Conn, request backEndRequest) bool {
		arrived <- struct{}{}
		<-proceed
		writeAnswer(connection, request, 200, "whole")
		return true
	})
	relay := newTestRelay(t, route(nil), backEnd)
	client := relay.client(t)
	client.send("POST", "/path/", "x")
	<-arrived
	relay.refuseNewAt.Store(int64(relay.clock.now() + time.Hour))
	relay.stopping.Store(true)
	close(proceed)
	answer := client.read()
	require.Equal(t, 200, answer.status)
	require.True(t, answer.head.ConnectionClose())
	client.requireEnd()
}

// Guards against a request without an answer: it was on its way when a stopping relay closed its idle connection, which the
// relay did without a word, so that the client got a reset.
func TestRequestThatCrossesTheCloseOfItsConnectionIsAnswered(t *testing.T) {
	backEnd := startBackEnd(t, "one", serving.StageWhole, answering(200, "ok"))
	relay := newTestRelay(t, route(nil), backEnd)
	client := relay.client(t)
	require.Equal(t, 200, client.do("POST", "/path/", "x").status)
	listener, err := closing.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() { _ = relay.accept(t.Context(), listener) }()
	stopped := make(chan struct{})
	go func() {
		relay.drain(t.Context(), listener)
		close(stopped)
	}()
	awaitBytesOrEnd(t, client.connection)
	client.send("POST", "/path/", "y") // before the client has read that the connection is closed
	answer := client.read()
	require.Equal(t, 408, answer.status, "the status promises that the request is not run")
	require.True(t, answer.head.ConnectionClose())
	client.requireEnd()
	require.NoError(t, client.connection.Close())
	<-stopped
	require.Len(t, backEnd.receivedRequests(), 1)
}

// Guards against a request without an answer: the relay exited while its back end was still silent.
func TestRequestsInProgressAtTheEndOfAStopAreAnswered(t *testing.T) {
	arrived, end := make(chan struct{}), make(chan struct{})
	defer close(end)
	backEnd := startBackEnd(t, "one", serving.StageWhole, func(net.Conn, backEndRequest) bool {
		close(arrived)
		<-end
		return false
	})
	relay := newTestRelay(t, route(func(route *serving.Route) { route.Timeout = time.Minute }), backEnd)
	client := relay.client(t)
	client.send("POST", "/path/", "x")
	<-arrived
	listener, err := closing.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() { _ = relay.accept(t.Context(), listener) }()
	go relay.drain(t.Context(), listener)
	require.NoError(t, client.connection.SetReadDeadline(time.Now().Add(relay.view.Load().table.Configuration.Routes[0].Timeout/2)))
	answer := client.read()
	require.Equal(t, 502, answer.status, "the request may have run")
	require.True(t, answer.head.ConnectionClose())
	client.requireEnd()
}

// Guards against a refusal that its client never reads: the relay closed the connection while the rest of the body was on
// its way, which resets the connection.
func TestRefusalReachesAClientThatIsStillSending(t *testing.T) {
	relay := newTestRelay(t, route(nil), startBackEnd(t, "one", serving.StageWhole, answering(200, "ok")))
	client := relay.client(t)
	const length = "6000000"
	client.send("POST", "/path/", "", "Content-Length: "+length)
	piece := strings.Repeat("x", 1<<20)
	for range 5 {
		_, err := io.WriteString(client.connection, piece)
		require.NoError(t, err)
	}
	require.Equal(t, 413, client.read().status)
	client.requireEnd()
}

// Guards against a client without an answer: when it sent the head of a request too slowly, the relay closed the connection
// without a word.
func TestSlowRequestIsAnswered(t *testing.T) {
	relay := newTestRelay(t, route(nil), startBackEnd(t, "one", serving.StageWhole, answering(200, "ok")))
	next := *relay.view.Load()
	configuration := *next.table.Configuration
	configuration.Limits.HeaderTimeout = 20 * time.Millisecond
	next.table = serving.NewTable(&configuration)
	relay.view.Store(&next)
	client := relay.client(t)
	_, err := io.WriteString(client.connection, "GET /path/ HTTP/1.1\r\nHost:")
	require.NoError(t, err)
	answer := client.read()
	require.Equal(t, 408, answer.status)
	require.True(t, answer.head.ConnectionClose())
	client.requireEnd()
}

// Guards against a client without an answer: when it sent the body of a request too slowly, the relay closed the connection
// without a word, or called a body in chunks malformed.
func TestSlowBodyIsAnswered(t *testing.T) {
	for name, framing := range map[string]string{"length": "Content-Length: 10", "chunks": "Transfer-Encoding: chunked"} {
		t.Run(name, func(t *testing.T) {
			clientEnd, relayEnd := net.Pipe()
			defer func() { _, _ = clientEnd.Close(), relayEnd.Close() }()
			connection := newClientConnection(closing.NewSet().Track(relayEnd), 0)
			head := &fasthttp.RequestHeader{}
			go func() {
				_, _ = io.WriteString(clientEnd, "POST / HTTP/1.1\r\nHost: test\r\n"+framing+"\r\n\r\n5\r\nhal")
			}()
			require.NoError(t, head.Read(connection.reader))
			require.NoError(t, connection.SetReadDeadline(time.Now().Add(20*time.Millisecond)))
			_, err := readBody(head, connection, 100, bodybudget.New(100).NewReservation())
			var fault *requestFault
			require.True(t, errors.As(err, &fault), "%v", err)
			require.Equal(t, 408, fault.status)
		})
	}
}

// Guards against requests that end without any log line: the client left before the request was complete, the request was
// malformed, or the relay refused it because it stops.
func TestRequestsThatAreNotServedHaveALogLine(t *testing.T) {
	for name, test := range map[string]struct {
		sent     string
		stopping bool
		want     string
	}{
		"left":      {sent: "POST /path/ HTTP/1.1\r\nHost: test\r\nContent-Length: 10\r\n\r\nhalf", want: `"event":"request_unread","cause":"unexpected EOF","status":0,"stopping":false`},
		"malformed": {sent: "GET x HTTP/1.1\r\nHost: test\r\n\r\n", want: `"cause":"400: the head of the request cannot be read","status":400`},
		"stopping":  {sent: "GET /path/ HTTP/1.1\r\nHost: test\r\nT-Id: one\r\n\r\n", stopping: true, want: `"event":"request_refused","request":"one","reason":"this relay stops"`},
	} {
		t.Run(name, func(t *testing.T) {
			relay := newTestRelay(t, route(nil), startBackEnd(t, "one", serving.StageWhole, answering(200, "ok")))
			lines := &logLines{}
			relay.log = requestLog{logger: zerolog.New(lines)}
			relay.stopping.Store(test.stopping)
			client := relay.client(t)
			_, err := io.WriteString(client.connection, test.sent)
			require.NoError(t, err)
			require.NoError(t, client.connection.(*net.TCPConn).CloseWrite())
			require.Eventually(t, func() bool { return strings.Contains(lines.String(), test.want) }, time.Minute, time.Millisecond, "%s", lines)
		})
	}
}

// requireEnd requires that the relay has closed the connection after its last answer, without a reset.
func (c *testClient) requireEnd() {
	c.t.Helper()
	_, err := c.reader.ReadByte()
	require.ErrorIs(c.t, err, io.EOF)
}

// awaitBytesOrEnd blocks until bytes or the end of the stream have arrived on a connection, and reads none.
func awaitBytesOrEnd(t *testing.T, connection net.Conn) {
	t.Helper()
	raw, err := connection.(*net.TCPConn).SyscallConn()
	require.NoError(t, err)
	require.NoError(t, raw.Read(func(descriptor uintptr) bool {
		_, _, err := syscall.Recvfrom(int(descriptor), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return !errors.Is(err, syscall.EAGAIN)
	}))
}
