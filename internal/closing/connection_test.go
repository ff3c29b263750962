package closing

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// pair returns both ends of a connection, the server's one tracked.
func pair(t *testing.T, set *Set) (client net.Conn, server *Connection) {
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

// Guards against requests that had reached a resting connection as it was ended, and got no answer.
func TestARequestThatHasReachedAnEndingConnectionIsRead(t *testing.T) {
	set := NewSet()
	client, server := pair(t, set)
	server.SetState(Idle)
	_, err := client.Write([]byte("request"))
	require.NoError(t, err)
	server.end(time.Now())
	read := make([]byte, 16)
	n, err := server.Read(read)
	require.NoError(t, err)
	require.Equal(t, "request", string(read[:n]))
	require.NoError(t, server.SetReadDeadline(time.Now().Add(time.Millisecond)))
	_, err = server.Read(read)
	require.Error(t, err, "the reader's own deadline counts again")
}

func TestARestingConnectionEnds(t *testing.T) {
	for _, state := range []State{Fresh, Idle} {
		set := NewSet()
		client, server := pair(t, set)
		server.SetState(state)
		go echo(server)
		require.True(t, set.CloseIdle(t.Context(), time.Now().Add(-time.Hour), time.Millisecond))
		_, err := client.Read(make([]byte, 1))
		require.ErrorIs(t, err, io.EOF)
	}
}

// Guards against a request that is cut since its connection's end was asked for in the moment of its arrival.
func TestAConnectionThatServesIsNotEnded(t *testing.T) {
	set := NewSet()
	client, server := pair(t, set)
	server.SetState(Idle)
	server.end(time.Now())
	server.SetState(Serving)
	go func() {
		time.Sleep(2 * lookTime)
		_, _ = client.Write([]byte("rest"))
	}()
	read := make([]byte, 16)
	n, err := server.Read(read)
	require.NoError(t, err)
	require.Equal(t, "rest", string(read[:n]))
	limited, cancel := context.WithTimeout(t.Context(), 3*endPoll)
	defer cancel()
	require.False(t, set.CloseIdle(limited, time.Now().Add(-time.Hour), 0))
	require.Equal(t, 1, set.Len())
}

// A connection on which something came lately is not ended yet.
func TestAConnectionIsEndedOnceItHasBeenQuiet(t *testing.T) {
	set := NewSet()
	_, server := pair(t, set)
	server.end(time.Now().Add(-time.Hour))
	require.False(t, server.isEnding())
	server.end(time.Now())
	require.True(t, server.isEnding())
}
