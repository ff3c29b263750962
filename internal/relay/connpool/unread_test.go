package connpool

import (
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// Guards against answers that their back end broke off by a reset and that look whole, since the look for unread bytes took the error away.
func TestAResetIsReadAfterALookForUnreadBytes(t *testing.T) {
	for _, look := range []struct {
		name string
		at   func(*Connection)
	}{
		{"unread bytes", func(c *Connection) { c.HasUnread() }},
		{"a write", func(c *Connection) { _, _ = c.Write([]byte("x")) }},
	} {
		t.Run(look.name, func(t *testing.T) {
			connection, far := putConnected(t, &Pool{})
			_, err := far.Write([]byte("part"))
			require.NoError(t, err)
			_, err = io.ReadFull(connection, make([]byte, len("part")))
			require.NoError(t, err)
			require.NoError(t, far.(*net.TCPConn).SetLinger(0))
			require.NoError(t, far.Close())
			awaitReset(t, connection)
			look.at(connection)
			_, err = connection.Read(make([]byte, 1))
			require.ErrorIs(t, err, syscall.ECONNRESET)
		})
	}
}

// awaitReset waits until the kernel has the reset, without a call that takes the error away.
func awaitReset(t *testing.T, connection *Connection) {
	t.Helper()
	raw, err := connection.Conn.(*net.TCPConn).SyscallConn()
	require.NoError(t, err)
	require.Eventually(t, func() bool {
		hasHungUp := false
		require.NoError(t, raw.Control(func(descriptor uintptr) { hasHungUp = pollsHangup(descriptor) }))
		return hasHungUp
	}, time.Minute, time.Millisecond)
}

// pollsHangup reports whether the kernel says that a connection has ended in both directions.
func pollsHangup(descriptor uintptr) bool {
	polled := []unix.PollFd{{Fd: int32(descriptor), Events: unix.POLLIN}}
	_, err := unix.Poll(polled, 0)
	return err == nil && polled[0].Revents&unix.POLLHUP != 0
}
