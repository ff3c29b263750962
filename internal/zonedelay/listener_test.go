package zonedelay

import (
	"bytes"
	"io"
	"net"
	"net/netip"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func delayedPair(t *testing.T, latency time.Duration) (client, server net.Conn) {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	wrapped := Wrap(inner, func(remote netip.Addr) time.Duration {
		require.Equal(t, "127.0.0.1", remote.String())
		return latency
	})
	t.Cleanup(func() { _ = wrapped.Close() })
	client, err = net.Dial("tcp", inner.Addr().String())
	require.NoError(t, err)
	server, err = wrapped.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { _ = client.Close(); _ = server.Close() })
	return client, server
}

// TestRoundTripTakesTwiceTheLatency checks that no round trip is faster than the latency in both
// directions.
func TestRoundTripTakesTwiceTheLatency(t *testing.T) {
	const latency = 5 * time.Millisecond
	client, server := delayedPair(t, latency)
	go func() { _, _ = io.Copy(server, server) }()
	for range 3 {
		began := time.Now()
		_, err := client.Write([]byte("ping"))
		require.NoError(t, err)
		_, err = io.ReadFull(client, make([]byte, 4))
		require.NoError(t, err)
		require.GreaterOrEqual(t, time.Since(began), 2*latency)
	}
}

func TestBytesArriveInOrderAndCloseFlushes(t *testing.T) {
	client, server := delayedPair(t, time.Millisecond)
	sent := bytes.Repeat([]byte("0123456789"), 200_000)
	go func() {
		_, _ = server.Write(sent)
		_ = server.Close()
	}()
	got, err := io.ReadAll(client)
	require.NoError(t, err)
	require.True(t, bytes.Equal(sent, got))
}

func TestDeadlines(t *testing.T) {
	_, server := delayedPair(t, time.Millisecond)
	require.NoError(t, server.SetReadDeadline(time.Now().Add(time.Millisecond)))
	_, err := server.Read(make([]byte, 1))
	require.ErrorIs(t, err, os.ErrDeadlineExceeded)
	require.NoError(t, server.SetWriteDeadline(time.Now().Add(time.Millisecond)))
	for err = nil; err == nil; {
		_, err = server.Write(make([]byte, 1<<20)) // nobody reads, so that the queue fills and Write blocks
	}
	require.ErrorIs(t, err, os.ErrDeadlineExceeded)
	require.NoError(t, server.Close())
	_, err = server.Read(make([]byte, 1))
	require.ErrorIs(t, err, net.ErrClosed)
}
