package zonedelay

import (
	"io"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against answers whose last bytes were thrown away since the process ended right after it had closed
// their connections.
func TestBytesOfClosedConnectionsAreWaitedFor(t *testing.T) {
	const latency = 50 * time.Millisecond
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	unsent := new(PendingFlushes)
	wrapped := WrapPartitioned(inner, func(netip.Addr) time.Duration { return latency }, nil, unsent)
	defer func() { require.NoError(t, wrapped.Close()) }()
	client, err := net.Dial("tcp", inner.Addr().String())
	require.NoError(t, err)
	server, err := wrapped.Accept()
	require.NoError(t, err)
	unsent.Wait(time.Minute) // an open connection is not waited for
	_, err = server.Write([]byte("last"))
	require.NoError(t, err)
	require.NoError(t, server.Close())
	unsent.Wait(time.Minute)
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
