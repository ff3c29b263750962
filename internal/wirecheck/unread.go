package wirecheck

import (
	"net"
	"syscall"
)

// HasUnread reports whether bytes or the end of the stream have arrived that nobody has read yet. It does not block, and may be called
// while another goroutine reads. It also returns an error by which the connection has ended; nobody else gets it then. A connection
// without access to its socket counts as read.
func HasUnread(connection net.Conn) (bool, error) {
	system, ok := connection.(syscall.Conn)
	if !ok {
		return false, nil
	}
	raw, err := system.SyscallConn()
	if err != nil {
		return false, err
	}
	var peekErr error
	// Control, unlike Read, does not wait for a read in progress.
	err = raw.Control(func(descriptor uintptr) {
		_, _, peekErr = syscall.Recvfrom(int(descriptor), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return err == nil && peekErr == nil, peekErr
}
