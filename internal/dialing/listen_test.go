package dialing

import (
	"net"
	"testing"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// Guards against accepted connections without the options of their listener, which would outlive a silent peer by minutes.
func TestAcceptedConnectionsDetectDeadPeers(t *testing.T) {
	listener, err := Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	dialed, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	defer dialed.Close()
	accepted, err := listener.Accept()
	require.NoError(t, err)
	defer accepted.Close()
	requireOptions(t, accepted, map[int]int{unix.TCP_USER_TIMEOUT: 10_000, unix.TCP_KEEPIDLE: 5, unix.TCP_KEEPINTVL: 5, unix.TCP_KEEPCNT: 2})
}

// Guards against a dialer between processes, or from operators, whose connections wait longer than a second.
func TestConnectionsToPeersDetectDeadPeersSoon(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	toPeers, err := ToPeers("127.0.0.1")
	require.NoError(t, err)
	for _, dial := range []Dial{toPeers, FromOperators()} {
		connection, err := dial(t.Context(), "tcp", listener.Addr().String())
		require.NoError(t, err)
		defer connection.Close()
		requireOptions(t, connection, map[int]int{unix.TCP_USER_TIMEOUT: 1000, unix.TCP_KEEPIDLE: 1, unix.TCP_KEEPINTVL: 1, unix.TCP_KEEPCNT: 1})
	}
}

// requireOptions requires that keep-alive probes are on and that the TCP options have the values.
func requireOptions(t *testing.T, connection net.Conn, options map[int]int) {
	t.Helper()
	raw, err := connection.(*net.TCPConn).SyscallConn()
	require.NoError(t, err)
	require.NoError(t, raw.Control(func(descriptor uintptr) {
		for option, want := range options {
			got, err := unix.GetsockoptInt(int(descriptor), unix.IPPROTO_TCP, option)
			require.NoError(t, err)
			require.Equal(t, want, got)
		}
		alive, err := unix.GetsockoptInt(int(descriptor), unix.SOL_SOCKET, unix.SO_KEEPALIVE)
		require.NoError(t, err)
		require.Equal(t, 1, alive)
	}))
}
