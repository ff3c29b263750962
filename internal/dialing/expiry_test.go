package dialing

import (
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// openExpiring returns both ends of a connection that a Dial of WithExpiry has opened.
func openExpiring(t *testing.T, remaining func() time.Duration) (local, remote net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	dial, err := FromSource("", 0)
	require.NoError(t, err)
	local, err = WithExpiry(dial, remaining)(t.Context(), "tcp", listener.Addr().String())
	require.NoError(t, err)
	remote, err = listener.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { local.Close(); remote.Close() })
	return local, remote
}

// A process that was paused until the time had passed must send nothing.
func TestExpiredWriteSendsNothing(t *testing.T) {
	remaining := time.Hour
	local, remote := openExpiring(t, func() time.Duration { return remaining })
	remaining = 0
	_, err := local.Write([]byte("an order"))
	require.ErrorIs(t, err, ErrExpired)
	require.NoError(t, local.Close())
	received, err := io.ReadAll(remote)
	require.NoError(t, err)
	require.Empty(t, received)
}

// Data that the peer does not read stays in the socket buffers. Closing an expiring connection must discard it;
// an ordinary close would deliver it whenever the peer reads again.
func TestExpiringDropsWhatIsHeldOnTheWay(t *testing.T) {
	local, remote := openExpiring(t, func() time.Duration { return time.Hour })
	require.NoError(t, local.(*expiringConnection).Conn.(*net.TCPConn).SetWriteBuffer(1<<20))
	written, err := local.Write(make([]byte, 64<<10))
	require.NoError(t, err)
	require.NoError(t, local.Close())
	_, err = io.CopyN(io.Discard, remote, int64(written)+1)
	require.ErrorIs(t, err, syscall.ECONNRESET)
}

// A peer that has answered has received everything, so the connection must close normally.
func TestAnsweredConnectionClosesNormally(t *testing.T) {
	local, remote := openExpiring(t, func() time.Duration { return time.Hour })
	_, err := local.Write([]byte("question"))
	require.NoError(t, err)
	_, err = io.ReadFull(remote, make([]byte, len("question")))
	require.NoError(t, err)
	_, err = remote.Write([]byte("answer"))
	require.NoError(t, err)
	_, err = io.ReadFull(local, make([]byte, len("answer")))
	require.NoError(t, err)
	require.NoError(t, local.Close())
	_, err = io.ReadAll(remote)
	require.NoError(t, err)
}
