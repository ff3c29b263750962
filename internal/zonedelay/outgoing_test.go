package zonedelay

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// newOutgoing returns the Outgoing of a process and its Partitioner.
func newOutgoing() (Outgoing, *Partitioner) {
	partitioner := NewPartitioner(netip.MustParsePrefix("127.0.0.0/8"))
	return Outgoing{Partitioner: partitioner, LocalAddress: netip.MustParseAddr("127.255.255.254")}, partitioner
}

func TestOutgoingConnectionsArePartitioned(t *testing.T) {
	outgoing, partitioner := newOutgoing()
	listener, err := net.Listen("tcp", "127.0.9.3:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	address := listener.Addr().(*net.TCPAddr).AddrPort()
	dial := outgoing.WrapDial((&net.Dialer{}).DialContext, address.Port())
	client, err := dial(t.Context(), "tcp", address.String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = client.Close() })
	server, err := listener.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { _ = server.Close() })
	heal := partitioner.Isolate(parsePrefixes("127.0.9.3/32"))
	sendByte(t, client, 'a')
	requireSilence(t, server)
	limited, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	_, err = dial(limited, "tcp", address.String())
	require.ErrorIs(t, err, context.DeadlineExceeded)
	other := outgoing.WrapDial((&net.Dialer{}).DialContext, address.Port()+1)
	untouched, err := other(t.Context(), "tcp", address.String())
	require.NoError(t, err, "another port is not blocked")
	t.Cleanup(func() { _ = untouched.Close() })
	heal()
	requireArrives(t, server, 'a')
}

func TestDatagramsAreLostInPartition(t *testing.T) {
	outgoing, partitioner := newOutgoing()
	bind := func(address string) net.PacketConn {
		connection, err := net.ListenPacket("udp", address)
		require.NoError(t, err)
		t.Cleanup(func() { _ = connection.Close() })
		return connection
	}
	self, peer := outgoing.WrapPacketConn(bind("127.0.9.4:0")), bind("127.0.9.5:0")
	exchange := func(content byte) {
		_, err := self.WriteTo([]byte{content}, peer.LocalAddr())
		require.NoError(t, err)
		_, err = peer.WriteTo([]byte{content}, self.LocalAddr())
		require.NoError(t, err)
	}
	heal := partitioner.Isolate(parsePrefixes("127.0.9.5/32"))
	exchange('a')
	// A datagram that arrives during the partition is dropped only when it is read, so a reader waits now.
	read := make(chan byte, 1)
	go func() {
		buffer := make([]byte, 1)
		if _, _, err := self.ReadFrom(buffer); err == nil {
			read <- buffer[0]
		}
	}()
	time.Sleep(20 * time.Millisecond)
	heal()
	exchange('b')
	require.Equal(t, byte('b'), <-read)
	buffer := make([]byte, 1)
	_, _, err := peer.ReadFrom(buffer)
	require.NoError(t, err)
	require.Equal(t, byte('b'), buffer[0])
}

// Guards against shares of datagrams that are meant to be lost and arrive, or are lost after the end.
func TestShareOfDatagramsIsLost(t *testing.T) {
	_, partitioner := newOutgoing()
	address, other := netip.MustParseAddr("127.0.9.5"), netip.MustParseAddr("127.0.8.5")
	end := partitioner.LoseDatagrams(parsePrefixes("127.0.9.0/24"), 0.5)
	lost := 0
	for range 1000 {
		require.False(t, partitioner.losesDatagram(other))
		if partitioner.losesDatagram(address) {
			lost++
		}
	}
	require.InDelta(t, 500, lost, 200)
	end()
	for range 100 {
		require.False(t, partitioner.losesDatagram(address))
	}
}
