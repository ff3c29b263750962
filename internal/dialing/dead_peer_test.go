package dialing

import (
	"net"
	"testing"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// Guards against options that the kernel takes differently from what the constants say; silent_peer_test.go shows their
// effect.
func TestDeadPeerDetectionOptionsAreSet(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	connection, err := WithDeadPeerDetection()(t.Context(), "tcp", listener.Addr().String())
	require.NoError(t, err)
	defer connection.Close()
	raw, err := connection.(*net.TCPConn).SyscallConn()
	require.NoError(t, err)
	require.NoError(t, raw.Control(func(descriptor uintptr) {
		for option, want := range map[int]int{
			unix.TCP_USER_TIMEOUT: 5000, unix.TCP_KEEPIDLE: 1, unix.TCP_KEEPINTVL: 1, unix.TCP_KEEPCNT: 5,
		} {
			got, err := unix.GetsockoptInt(int(descriptor), unix.IPPROTO_TCP, option)
			require.NoError(t, err)
			require.Equal(t, want, got)
		}
		alive, err := unix.GetsockoptInt(int(descriptor), unix.SOL_SOCKET, unix.SO_KEEPALIVE)
		require.NoError(t, err)
		require.Equal(t, 1, alive)
	}))
}
