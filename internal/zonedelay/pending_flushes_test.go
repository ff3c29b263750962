package zonedelay

import (
	"io"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The last bytes of an answer must not be lost when the process exits right after it has closed the
// connection.
func TestBytesOfClosedConnectionsAreWaitedFor(t *testing.T) {
	const latency = 50 * time.Millisecond
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	flushes := new(PendingFlushes)
	wrapped := WrapPartitioned(inner, func(netip.Addr) time.Duration { return latency }, nil, flushes)
	defer func() { require.NoError(t, wrapped.Close()) }()
	client, err := net.Dial("tcp", inner.Addr().String())
	require.NoError(t, err)
	server, err := wrapped.Accept()
	require.NoError(t, err)
	flushes.Wait(time.Minute) // does not wait for open connections
	_, err = server.Write([]byte("last"))
	require.NoError(t, err)
	require.NoError(t, server.Close())
	flushes.Wait(time.Minute)
	require.NoError(t, client.SetReadDeadline(time.Now().Add(time.Minute)))
	got, err := io.ReadAll(client)
	require.NoError(t, err)
	require.Equal(t, "last", string(got))
	select {
	case <-server.(*conn).closed:
	default:
		t.Fatal("the connection is open")
	}
}
