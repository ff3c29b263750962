package zonedelay

import (
	"net"
	"net/netip"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// gated returns both ends of a connection from 127.0.9.1 to 127.0.9.2.
func gated(t *testing.T, gate *Partitioner) (client, server net.Conn) {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.9.2:0")
	require.NoError(t, err)
	wrapped := WrapPartitioned(inner, func(netip.Addr) time.Duration { return 0 }, gate, new(PendingFlushes))
	t.Cleanup(func() { _ = wrapped.Close() })
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP("127.0.9.1")}}
	client, err = dialer.Dial("tcp", inner.Addr().String())
	require.NoError(t, err)
	server, err = wrapped.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { _ = client.Close(); _ = server.Close() })
	return client, server
}

func prefixes(texts ...string) []netip.Prefix {
	var made []netip.Prefix
	for _, text := range texts {
		made = append(made, netip.MustParsePrefix(text))
	}
	return made
}

// requireSilence shows that nothing arrives: the deadline passes in any case.
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

func send(t *testing.T, from net.Conn, what byte) {
	t.Helper()
	_, err := from.Write([]byte{what})
	require.NoError(t, err)
}

func TestCutIsSilentAndHeals(t *testing.T) {
	for _, group := range [][]netip.Prefix{prefixes("127.0.9.1/32"), prefixes("127.0.9.2/32")} {
		gate := NewPartitioner(netip.MustParsePrefix("127.0.0.0/16"))
		client, server := gated(t, gate)
		send(t, client, 'a')
		requireArrives(t, server, 'a')
		heal := gate.Isolate(group)
		send(t, client, 'b')
		send(t, server, 'c')
		requireSilence(t, server)
		requireSilence(t, client)
		heal()
		requireArrives(t, server, 'b')
		requireArrives(t, client, 'c')
	}
}

func TestGroupsReachThemselves(t *testing.T) {
	gate := NewPartitioner(netip.MustParsePrefix("127.0.0.0/16"))
	client, server := gated(t, gate)
	gate.Isolate(prefixes("127.0.9.0/24"))
	gate.Isolate(prefixes("127.0.8.0/24"))
	send(t, client, 'a')
	requireArrives(t, server, 'a')
}

func TestCutsAddUp(t *testing.T) {
	gate := NewPartitioner(netip.MustParsePrefix("127.0.0.0/16"))
	client, server := gated(t, gate)
	first, second := gate.Isolate(prefixes("127.0.9.1/32")), gate.Isolate(prefixes("127.0.9.1/32"))
	send(t, client, 'a')
	first()
	first()
	requireSilence(t, server)
	second()
	requireArrives(t, server, 'a')
}

func TestClosingEndsWaiting(t *testing.T) {
	gate := NewPartitioner(netip.MustParsePrefix("127.0.0.0/16"))
	client, server := gated(t, gate)
	gate.Isolate(prefixes("127.0.9.1/32"))
	send(t, client, 'a')
	require.NoError(t, server.Close())
	_, err := server.Read(make([]byte, 1))
	require.ErrorIs(t, err, net.ErrClosed)
}

func TestAddressesOutsideTheNetworkAreNeverCutOff(t *testing.T) {
	gate := NewPartitioner(netip.MustParsePrefix("127.0.9.2/32"))
	client, server := gated(t, gate)
	gate.Isolate(prefixes("127.0.9.1/32"))
	send(t, client, 'a')
	requireArrives(t, server, 'a')
}
