package relay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"github.com/hazelpitch/hazelpitch/internal/serving"
)

// keepingListener hands out each accepted connection, so that a test can end it as the kernel does when the process ends.
type keepingListener struct {
	net.Listener
	accepted chan net.Conn
}

// Accept implements net.Listener.
func (l *keepingListener) Accept() (net.Conn, error) {
	connection, err := l.Listener.Accept()
	if err == nil {
		l.accepted <- connection
	}
	return connection, err
}

// unsentBytes returns the number of bytes that the kernel has not delivered to the peer of a connection yet.
func unsentBytes(t *testing.T, connection net.Conn) int {
	t.Helper()
	raw, err := connection.(syscall.Conn).SyscallConn()
	require.NoError(t, err)
	count := 0
	require.NoError(t, raw.Control(func(descriptor uintptr) { count, _ = unix.IoctlGetInt(int(descriptor), unix.TIOCOUTQ) }))
	return count
}

// setBufferBytes returns a function that makes one buffer of a connection as small as the kernel allows.
func setBufferBytes(option int) func(_, _ string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		var failed error
		err := raw.Control(func(descriptor uintptr) {
			failed = unix.SetsockoptInt(int(descriptor), unix.SOL_SOCKET, option, 1)
		})
		return errors.Join(err, failed)
	}
}

// connectSlowClient connects a client that reads nothing yet, and returns its connection and the relay's end of it. Little fits into
// the buffers of the connection.
func connectSlowClient(t *testing.T, relay *testRelay) (client, accepted net.Conn) {
	t.Helper()
	config := net.ListenConfig{Control: setBufferBytes(unix.SO_SNDBUF)}
	inner, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	listener := &keepingListener{inner, make(chan net.Conn, 1)}
	ctx, cancel := context.WithCancel(t.Context())
	go func() { _ = relay.accept(ctx, listener) }()
	t.Cleanup(func() { cancel(); _ = inner.Close() })
	dialer := net.Dialer{Control: setBufferBytes(unix.SO_RCVBUF)}
	client, err = dialer.DialContext(t.Context(), "tcp", inner.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = client.Close() })
	return client, <-listener.accepted
}

// Guards against the beginning of an answer without a length that a slow client gets as a whole one, since its relay has ended, or has
// given up, while it wrote the answer.
func TestUnframedAnswerThatIsNotWrittenWholeEndsWithAReset(t *testing.T) {
	t.Parallel()
	events := strings.Builder{}
	for number := range 20_000 {
		fmt.Fprintf(&events, "id: %d\ndata: a\n\n", number)
	}
	short, long := strings.Repeat("x", maxBufferedAnswer-1), strings.Repeat("x", 4*maxBufferedAnswer)
	for name, test := range map[string]struct {
		kind func(*serving.Route)
		text string
	}{
		"short": {unsafePlain, unframedHead + short}, "long": {unsafePlain, unframedHead + long}, "safe": {safe, unframedHead + short},
		"stream": {stream(false), unframedStreamHead + events.String()},
	} {
		for endName, end := range map[string]func(net.Conn){
			"killed":   func(accepted net.Conn) { _ = accepted.Close() },
			"deadline": func(accepted net.Conn) { _ = accepted.SetWriteDeadline(time.Unix(1, 0)) },
		} {
			t.Run(name+"/"+endName, func(t *testing.T) {
				t.Parallel()
				relay := newTestRelay(t, route(test.kind), startThree(t, writing(test.text))...)
				client, accepted := connectSlowClient(t, relay)
				_, err := io.WriteString(client, "GET /path/ HTTP/1.1\r\nHost: test\r\nT-Id: id-1\r\n\r\n")
				require.NoError(t, err)
				require.Eventually(t, func() bool { return unsentBytes(t, accepted) > 0 }, time.Minute, time.Millisecond)
				end(accepted)
				received, err := io.ReadAll(client)
				require.Less(t, len(received), len(test.text), "the answer fits into the buffers")
				require.ErrorIs(t, err, syscall.ECONNRESET)
			})
		}
	}
}
