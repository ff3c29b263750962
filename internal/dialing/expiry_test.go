package dialing

import (
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// open returns both ends of a connection of Expiring.
func open(t *testing.T, remaining func() time.Duration) (here, there net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	dial, err := FromSource("", 0)
	require.NoError(t, err)
	here, err = WithExpiry(dial, remaining)(t.Context(), "tcp", listener.Addr().String())
	require.NoError(t, err)
	there, err = listener.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { here.Close(); there.Close() })
	return here, there
}

// A process that stood still until the time was over sends nothing after it.
func TestExpiringSendsNothingLate(t *testing.T) {
	left := time.Hour
	here, there := open(t, func() time.Duration { return left })
	left = 0
	_, err := here.Write([]byte("an order"))
	require.ErrorIs(t, err, ErrExpired)
	require.NoError(t, here.Close())
	received, err := io.ReadAll(there)
	require.NoError(t, err)
	require.Empty(t, received)
}

// What a peer does not read waits in the sockets' buffers. A connection that is given up drops
// it: an ordinary close would have it delivered whenever the peer reads on.
func TestExpiringDropsWhatIsHeldOnTheWay(t *testing.T) {
	here, there := open(t, func() time.Duration { return time.Hour })
	require.NoError(t, here.(*expiringConnection).Conn.(*net.TCPConn).SetWriteBuffer(1<<20))
	written, err := here.Write(make([]byte, 64<<10))
	require.NoError(t, err)
	require.NoError(t, here.Close())
	_, err = io.CopyN(io.Discard, there, int64(written)+1)
	require.ErrorIs(t, err, syscall.ECONNRESET)
}

// A peer that has answered has everything: the connection ends as usual.
func TestExpiringClosesAnsweredConnectionsAsUsual(t *testing.T) {
	here, there := open(t, func() time.Duration { return time.Hour })
	_, err := here.Write([]byte("question"))
	require.NoError(t, err)
	_, err = io.ReadFull(there, make([]byte, len("question")))
	require.NoError(t, err)
	_, err = there.Write([]byte("answer"))
	require.NoError(t, err)
	_, err = io.ReadFull(here, make([]byte, len("answer")))
	require.NoError(t, err)
	require.NoError(t, here.Close())
	_, err = io.ReadAll(there)
	require.NoError(t, err)
}
