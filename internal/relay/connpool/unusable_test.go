package connpool

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// putConnected puts a TCP connection into the pool at time 0. It returns the connection and its peer.
func putConnected(t *testing.T, pool *Pool) (*Connection, net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	near, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	far, err := listener.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { _, _ = near.Close(), far.Close() })
	connection := NewConnection(near, 0)
	pool.Put(connection, 0)
	return connection, far
}

// Guards against idle connections that stay open although no request may use them, beside sound ones that must stay open.
func TestCloseUnusable(t *testing.T) {
	pool := &Pool{}
	sound, _ := putConnected(t, pool)
	_, sending := putConnected(t, pool)
	_, closing := putConnected(t, pool)
	shortLived, _ := putConnected(t, pool)
	shortLived.IdleLimit = time.Second
	_, err := sending.Write([]byte("x"))
	require.NoError(t, err)
	require.NoError(t, closing.Close())
	require.Eventually(t, func() bool {
		pool.CloseUnusable(time.Second)
		return len(pool.idle) == 1
	}, time.Minute, time.Millisecond)
	require.Same(t, sound, pool.idle[0])
	_, err = shortLived.Write([]byte("x"))
	require.ErrorIs(t, err, net.ErrClosed)
	pool.CloseUnusable(DefaultIdleLimit)
	require.Empty(t, pool.idle)
	_, err = sound.Write([]byte("x"))
	require.ErrorIs(t, err, net.ErrClosed)
}

// BenchmarkCloseUnusable measures the check of the idle connections of one back end that are all sound.
func BenchmarkCloseUnusable(b *testing.B) {
	const connections = 8
	pool := &Pool{}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	defer listener.Close()
	for range connections {
		near, err := net.Dial("tcp", listener.Addr().String())
		require.NoError(b, err)
		defer near.Close()
		pool.Put(NewConnection(near, 0), 0)
	}
	b.ReportAllocs()
	for b.Loop() {
		pool.CloseUnusable(time.Second)
	}
	require.Len(b, pool.idle, connections)
}
