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
	requireOptions(t, connection, map[int]int{unix.TCP_USER_TIMEOUT: 5000, unix.TCP_KEEPIDLE: 1, unix.TCP_KEEPINTVL: 1, unix.TCP_KEEPCNT: 5})
}
