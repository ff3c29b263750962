package closing

import (
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// echo sends all bytes of a connection back.
func echo(connection net.Conn) {
	defer func() { _ = connection.Close() }()
	_, _ = io.Copy(connection, connection)
}

// Guards against resetting clients whose connections are in the accept queue when the port is closed.
func TestQueuedConnectionsOfClosingListenerAreAccepted(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	listener := NewListener(inner)
	const waiting = 50
	clients := make([]net.Conn, waiting)
	for number := range clients {
		clients[number], err = net.Dial("tcp", inner.Addr().String())
		require.NoError(t, err)
		_, err = clients[number].Write([]byte{byte(number)})
		require.NoError(t, err)
	}
	closed := make(chan error, 1)
	go func() { closed <- listener.CloseWhenEmpty(time.Minute) }()
	require.Eventually(t, listener.draining.Load, time.Minute, time.Millisecond)
	for range waiting {
		connection, err := listener.Accept()
		require.NoError(t, err)
		go echo(connection)
	}
	_, err = listener.Accept()
	require.ErrorIs(t, err, net.ErrClosed)
	require.NoError(t, <-closed)
	for number, client := range clients {
		answer := make([]byte, 1)
		_, err := io.ReadFull(client, answer)
		require.NoError(t, err)
		require.Equal(t, byte(number), answer[0])
		require.NoError(t, client.Close())
	}
}

func TestClosingListenerWaitsAtMostItsLimit(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, NewListener(inner).CloseWhenEmpty(time.Millisecond), "no goroutine accepts")
	_, err = inner.Accept()
	require.True(t, errors.Is(err, net.ErrClosed))
}

// Guards against resets of clients whose handshake is in progress when the port is closed: new handshakes must be dropped
// before, not refused.
func TestNewHandshakesAreDropped(t *testing.T) {
	inner, err := Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	listener := inner.(*Listener)
	defer func() { require.NoError(t, listener.Close()) }()
	raw, err := listener.rawSocket()
	require.NoError(t, err)
	require.NoError(t, dropHandshakes(raw))
	_, err = net.DialTimeout("tcp", listener.Addr().String(), 100*time.Millisecond)
	var timeout net.Error
	require.True(t, errors.As(err, &timeout) && timeout.Timeout(), "%v", err)
}
