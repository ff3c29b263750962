package connpool

import (
	"net"
	"syscall"
)

// HasUnread reports whether bytes or the end of the stream have arrived that nobody has read yet. It does not block, and may
// be called while another goroutine reads. A connection without access to its socket counts as read.
func (c *Connection) HasUnread() bool { return hasUnread(c.Conn) }

func hasUnread(connection net.Conn) bool {
	system, ok := connection.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := system.SyscallConn()
	if err != nil {
		return false
	}
	var peekErr error
	// Control, unlike Read, does not wait for a read in progress.
	err = raw.Control(func(descriptor uintptr) {
		_, _, peekErr = syscall.Recvfrom(int(descriptor), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return err == nil && peekErr == nil
}
