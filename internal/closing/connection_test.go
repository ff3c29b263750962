package closing

import (
	"context"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// connectedPair returns both ends of a connection, the server's end tracked by the set.
func connectedPair(t *testing.T, set *Set) (client net.Conn, server *Connection) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { require.NoError(t, listener.Close()) }()
	client, err = net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	accepted, err := listener.Accept()
	require.NoError(t, err)
	server = set.Track(accepted)
	t.Cleanup(func() { _, _ = client.Close(), server.Close() })
	return client, server
}

// Guards against a request without an answer: it arrives on an idle connection while the connection is closed.
func TestRequestOnClosingConnectionIsRead(t *testing.T) {
	set := NewSet()
	client, server := connectedPair(t, set)
	server.SetState(Idle)
	_, err := client.Write([]byte("request"))
	require.NoError(t, err)
	server.requestClose(time.Now())
	read := make([]byte, 16)
	n, err := server.Read(read)
	require.NoError(t, err)
	require.Equal(t, "request", string(read[:n]))
	require.NoError(t, server.SetReadDeadline(time.Now().Add(time.Millisecond)))
	_, err = server.Read(read)
	require.Error(t, err, "the reader's deadline must apply again")
}

func TestIdleConnectionIsClosed(t *testing.T) {
	for _, state := range []State{Fresh, Idle} {
		set := NewSet()
		client, server := connectedPair(t, set)
		server.SetState(state)
		go echo(server)
		require.True(t, set.CloseIdle(t.Context(), time.Now().Add(-time.Hour), time.Millisecond))
		_, err := client.Read(make([]byte, 1))
		require.ErrorIs(t, err, io.EOF)
	}
}

// Guards against cutting a request that arrives at the moment the close of its connection is requested.
func TestServingConnectionIsNotClosed(t *testing.T) {
	set := NewSet()
	client, server := connectedPair(t, set)
	server.SetState(Idle)
	server.requestClose(time.Now())
	server.SetState(Serving)
	go func() {
		time.Sleep(2 * finalReadTimeout)
		_, _ = client.Write([]byte("rest"))
	}()
	read := make([]byte, 16)
	n, err := server.Read(read)
	require.NoError(t, err)
	require.Equal(t, "rest", string(read[:n]))
	limited, cancel := context.WithTimeout(t.Context(), 3*closePollInterval)
	defer cancel()
	require.False(t, set.CloseIdle(limited, time.Now().Add(-time.Hour), 0))
	require.Equal(t, 1, set.Len())
}

// A connection whose state changed recently must not be closed yet.
func TestConnectionIsClosedOnlyAfterQuietTime(t *testing.T) {
	set := NewSet()
	_, server := connectedPair(t, set)
	server.requestClose(time.Now().Add(-time.Hour))
	require.False(t, server.isCloseRequested())
	server.requestClose(time.Now())
	require.True(t, server.isCloseRequested())
}

// Guards against an incomplete answer that looks complete since its connection was closed and not reset, by the server or by the
// system after the server's process was killed.
func TestConnectionIsResetOnClose(t *testing.T) {
	for name, end := range map[string]func(*Connection) error{
		"closed": (*Connection).Close, "process killed": func(server *Connection) error { return server.Conn.Close() },
	} {
		for mustReset, want := range map[bool]error{true: syscall.ECONNRESET, false: nil} {
			client, server := connectedPair(t, NewSet())
			server.SetState(Serving)
			server.SetResetOnClose(true)
			server.SetResetOnClose(mustReset)
			require.NoError(t, end(server))
			_, err := io.ReadAll(client)
			require.ErrorIs(t, err, want, "%s, %t", name, mustReset)
		}
	}
}
