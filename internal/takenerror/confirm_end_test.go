package takenerror

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/internal/standin/linkserver"
	"github.com/hazelpitch/hazelpitch/internal/standin/silence"
)

// requestBytes do not fit into the buffers of a connection whose peer has a small one.
const requestBytes = 8 << 20

// connect returns both ends of a connection whose second end receives little more than is read.
func connect(t *testing.T) (connection, peer *net.TCPConn) {
	t.Helper()
	listener, err := linkserver.Listen("127.0.0.1:0", linkserver.SmallReceiveBuffer)
	require.NoError(t, err)
	defer listener.Close()
	dialed, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	accepted, err := listener.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { _, _ = dialed.Close(), accepted.Close() })
	return dialed.(*net.TCPConn), accepted.(*net.TCPConn)
}

// confirm writes a request, of which a part may be written in the background, reads the end of the peer's stream, which the peer has
// written, and returns what ConfirmEnd says of it.
func confirm(t *testing.T, size int, act func(peer *net.TCPConn)) error {
	t.Helper()
	connection, peer := connect(t)
	keeper := &Keeper{}
	begun, written := make(chan struct{}), make(chan error, 1)
	go func() {
		written <- keeper.Write(func() error {
			close(begun)
			_, err := connection.Write(make([]byte, size))
			return err
		})
	}()
	<-begun // a peer answers no request of which nothing was written
	if size < requestBytes {
		require.NoError(t, <-written) // the kernel has the rest
	}
	go act(peer)
	_, err := connection.Read(make([]byte, 1))
	require.ErrorIs(t, keeper.Kept(err), io.EOF)
	return keeper.ConfirmEnd(connection, nil)
}

// sizes are the sizes of requests of which the rest waits in a write, or in the kernel.
var sizes = map[string]int{"write in progress": requestBytes, "rest in the kernel": 8 << 10}

// Guards against an ordinary end that is taken for that of a whole answer, although a reset follows it: the peer has not received the
// whole request.
func TestEndBeforeAResetIsNotConfirmed(t *testing.T) {
	for name, size := range sizes {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			err := confirm(t, size, linkserver.Crash)
			require.True(t, errors.Is(err, ErrRequestRejected) || errors.Is(err, syscall.EPIPE), "%v", err)
		})
	}
}

// Guards against an ordinary end that is taken for that of a whole answer, although the peer's machine has disappeared then.
func TestEndBeforeASilenceIsNotConfirmed(t *testing.T) {
	connection, peer := connect(t)
	require.NoError(t, peer.CloseWrite())
	_, err := connection.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
	time.Sleep(100 * time.Millisecond) // until the end is acknowledged, which is delayed; the peer would send it again
	require.NoError(t, silence.Begin(peer))
	keeper := &Keeper{}
	require.NoError(t, keeper.Write(func() error { _, err := connection.Write(make([]byte, 1<<10)); return err }))
	require.ErrorIs(t, keeper.ConfirmEnd(connection, nil), ErrRequestUnanswered)
}

// Guards against the same where the peer's window is closed: nothing is on its way then but the kernel's probes of the window.
func TestEndBeforeASilenceBehindAClosedWindowIsNotConfirmed(t *testing.T) {
	for name, size := range map[string]int{"write in progress": requestBytes, "rest in the kernel": 64 << 10} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			connection, peer := connect(t)
			keeper, written := &Keeper{}, make(chan error, 1)
			go func() {
				written <- keeper.Write(func() error { _, err := connection.Write(make([]byte, size)); return err })
			}()
			time.Sleep(100 * time.Millisecond) // until the window is closed
			require.NoError(t, peer.CloseWrite())
			_, err := connection.Read(make([]byte, 1))
			require.ErrorIs(t, err, io.EOF)
			time.Sleep(100 * time.Millisecond) // until the end is acknowledged
			require.NoError(t, silence.Begin(peer))
			require.ErrorIs(t, keeper.ConfirmEnd(connection, nil), ErrRequestUnanswered)
		})
	}
}

// Guards against an end that is not confirmed although the peer has only ended its own stream: it receives the rest of the request, at
// once or later, or neither receives nor refuses it.
func TestEndOfAPeerThatGoesOnIsConfirmed(t *testing.T) {
	for name, size := range sizes {
		for actName, act := range map[string]func(peer *net.TCPConn){
			"receives the rest": func(peer *net.TCPConn) { _, _ = io.Copy(io.Discard, peer) },
			"receives the rest later": func(peer *net.TCPConn) {
				time.Sleep(50 * time.Millisecond)
				_, _ = io.Copy(io.Discard, peer)
			},
			"receives nothing": func(*net.TCPConn) {},
		} {
			t.Run(name+"/"+actName, func(t *testing.T) {
				t.Parallel()
				require.NoError(t, confirm(t, size, func(peer *net.TCPConn) {
					_ = peer.CloseWrite()
					act(peer)
				}))
			})
		}
	}
}

// Guards against a wait for connections that have received the whole request, as nearly all have.
func TestEndAfterTheRequestIsConfirmedAtOnce(t *testing.T) {
	connection, peer := connect(t)
	keeper := &Keeper{}
	require.NoError(t, keeper.Write(func() error { _, err := connection.Write([]byte("request")); return err }))
	_, err := io.ReadFull(peer, make([]byte, len("request")))
	require.NoError(t, err)
	require.NoError(t, peer.Close())
	_, err = connection.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
	require.NoError(t, connection.SetWriteDeadline(time.Unix(1, 0)))
	require.NoError(t, keeper.ConfirmEnd(connection, nil))
	require.NoError(t, (&Keeper{}).ConfirmEnd(nil, nil), "a connection without access to its socket")
}
