package zonedelay

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// outgoing returns what a process goes by, and its gate.
func outgoing() (Outgoing, *Partitioner) {
	gate := NewPartitioner(netip.MustParsePrefix("127.0.0.0/8"))
	return Outgoing{Partitioner: gate, LocalAddress: netip.MustParseAddr("127.255.255.254")}, gate
}

func TestOutgoingConnectionsAreCut(t *testing.T) {
	way, gate := outgoing()
	listener, err := net.Listen("tcp", "127.0.9.3:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	address := listener.Addr().(*net.TCPAddr).AddrPort()
	dial := way.WrapDial((&net.Dialer{}).DialContext, address.Port())
	client, err := dial(t.Context(), "tcp", address.String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = client.Close() })
	server, err := listener.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { _ = server.Close() })
	heal := gate.Isolate(prefixes("127.0.9.3/32"))
	send(t, client, 'a')
	requireSilence(t, server)
	limited, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	_, err = dial(limited, "tcp", address.String())
	require.ErrorIs(t, err, context.DeadlineExceeded)
	other := way.WrapDial((&net.Dialer{}).DialContext, address.Port()+1)
	untouched, err := other(t.Context(), "tcp", address.String())
	require.NoError(t, err, "another port is not held up")
	t.Cleanup(func() { _ = untouched.Close() })
	heal()
	requireArrives(t, server, 'a')
}

func TestDatagramsAreLostInACut(t *testing.T) {
	way, gate := outgoing()
	bind := func(address string) net.PacketConn {
		connection, err := net.ListenPacket("udp", address)
		require.NoError(t, err)
		t.Cleanup(func() { _ = connection.Close() })
		return connection
	}
	self, peer := way.WrapPacketConn(bind("127.0.9.4:0")), bind("127.0.9.5:0")
	exchange := func(content byte) {
		_, err := self.WriteTo([]byte{content}, peer.LocalAddr())
		require.NoError(t, err)
		_, err = peer.WriteTo([]byte{content}, self.LocalAddr())
		require.NoError(t, err)
	}
	heal := gate.Isolate(prefixes("127.0.9.5/32"))
	exchange('a')
	// What came in the cut is lost once it is read there: a reader waits meanwhile.
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
