package zonedelay

import (
	"net"
	"net/netip"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// partitionedPair returns both ends of a connection from 127.0.9.1 to 127.0.9.2.
func partitionedPair(t *testing.T, partitioner *Partitioner) (client, server net.Conn) {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.9.2:0")
	require.NoError(t, err)
	wrapped := WrapPartitioned(inner, func(netip.Addr) time.Duration { return 0 }, partitioner, new(PendingFlushes))
	t.Cleanup(func() { _ = wrapped.Close() })
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP("127.0.9.1")}}
	client, err = dialer.Dial("tcp", inner.Addr().String())
	require.NoError(t, err)
	server, err = wrapped.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { _ = client.Close(); _ = server.Close() })
	return client, server
}

func parsePrefixes(texts ...string) []netip.Prefix {
	var parsed []netip.Prefix
	for _, text := range texts {
		parsed = append(parsed, netip.MustParsePrefix(text))
	}
	return parsed
}

// requireSilence checks that no data arrives before a read deadline.
func requireSilence(t *testing.T, at net.Conn) {
	t.Helper()
	require.NoError(t, at.SetReadDeadline(time.Now().Add(20*time.Millisecond)))
	_, err := at.Read(make([]byte, 1))
	require.ErrorIs(t, err, os.ErrDeadlineExceeded)
	require.NoError(t, at.SetReadDeadline(time.Time{}))
}

func requireArrives(t *testing.T, at net.Conn, want byte) {
	t.Helper()
	buffer := make([]byte, 1)
	_, err := at.Read(buffer)
	require.NoError(t, err)
	require.Equal(t, want, buffer[0])
}

func sendByte(t *testing.T, from net.Conn, what byte) {
	t.Helper()
	_, err := from.Write([]byte{what})
	require.NoError(t, err)
}

func TestPartitionIsSilentAndHeals(t *testing.T) {
	for _, group := range [][]netip.Prefix{parsePrefixes("127.0.9.1/32"), parsePrefixes("127.0.9.2/32")} {
		partitioner := NewPartitioner(netip.MustParsePrefix("127.0.0.0/16"))
		client, server := partitionedPair(t, partitioner)
		sendByte(t, client, 'a')
		requireArrives(t, server, 'a')
		heal := partitioner.Isolate(group)
		sendByte(t, client, 'b')
		sendByte(t, server, 'c')
		requireSilence(t, server)
		requireSilence(t, client)
		heal()
		requireArrives(t, server, 'b')
		requireArrives(t, client, 'c')
	}
}

func TestIsolatedGroupReachesItself(t *testing.T) {
	partitioner := NewPartitioner(netip.MustParsePrefix("127.0.0.0/16"))
	client, server := partitionedPair(t, partitioner)
	partitioner.Isolate(parsePrefixes("127.0.9.0/24"))
	partitioner.Isolate(parsePrefixes("127.0.8.0/24"))
	sendByte(t, client, 'a')
	requireArrives(t, server, 'a')
}

func TestOverlappingPartitionsHealSeparately(t *testing.T) {
	partitioner := NewPartitioner(netip.MustParsePrefix("127.0.0.0/16"))
	client, server := partitionedPair(t, partitioner)
	healFirst, healSecond := partitioner.Isolate(parsePrefixes("127.0.9.1/32")), partitioner.Isolate(parsePrefixes("127.0.9.1/32"))
	sendByte(t, client, 'a')
	healFirst()
	healFirst()
	requireSilence(t, server)
	healSecond()
	requireArrives(t, server, 'a')
}

func TestCloseEndsWaitForPartition(t *testing.T) {
	partitioner := NewPartitioner(netip.MustParsePrefix("127.0.0.0/16"))
	client, server := partitionedPair(t, partitioner)
	partitioner.Isolate(parsePrefixes("127.0.9.1/32"))
	sendByte(t, client, 'a')
	require.NoError(t, server.Close())
	_, err := server.Read(make([]byte, 1))
	require.ErrorIs(t, err, net.ErrClosed)
}

func TestAddressesOutsideNetworkAreNeverIsolated(t *testing.T) {
	partitioner := NewPartitioner(netip.MustParsePrefix("127.0.9.2/32"))
	client, server := partitionedPair(t, partitioner)
	partitioner.Isolate(parsePrefixes("127.0.9.1/32"))
	sendByte(t, client, 'a')
	requireArrives(t, server, 'a')
}
