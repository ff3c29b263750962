package datagramloss

import (
	"net"
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a cut of datagrams that loses none, or those of the other direction or of others, or that does not end.
func TestDatagramsAreLostInOneDirection(t *testing.T) {
	network := &Network{}
	listen := func(ip string) net.PacketConn {
		socket, err := network.Listen("udp", net.JoinHostPort(ip, "0"))
		require.NoError(t, err)
		t.Cleanup(func() { _ = socket.Close() })
		return socket
	}
	receiver, cut, other := listen("127.0.31.1"), listen("127.0.31.2"), listen("127.0.31.3")
	send := func(from, to net.PacketConn, content string) {
		_, err := from.WriteTo([]byte(content), to.LocalAddr())
		require.NoError(t, err)
	}
	received := func(socket net.PacketConn) string {
		buffer := make([]byte, 10)
		count, _, err := socket.ReadFrom(buffer)
		require.NoError(t, err)
		return string(buffer[:count])
	}
	loss := Between([]netip.Addr{netip.MustParseAddr("127.0.31.2")}, []netip.Addr{netip.MustParseAddr("127.0.31.1")})
	end := network.Begin(loss)
	send(cut, receiver, "lost")
	send(other, receiver, "other")
	require.Equal(t, "other", received(receiver))
	send(receiver, cut, "back")
	require.Equal(t, "back", received(cut))
	require.Equal(t, 1, loss.Count())
	end()
	send(cut, receiver, "again")
	require.Equal(t, "again", received(receiver))
}
