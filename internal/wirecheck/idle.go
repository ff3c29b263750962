package wirecheck

import (
	"errors"
	"net"
	"syscall"
)

// Errors of idle connections that cannot be reused.
var (
	// ErrClosedByPeer means that the peer has closed the connection.
	ErrClosedByPeer = errors.New("connection closed by the back end while idle")
	// ErrUnexpectedBytes means that the peer has sent data without a request.
	ErrUnexpectedBytes = errors.New("unexpected data on an idle connection")
)

// CheckIdle returns an error if an idle connection cannot carry another request: the peer has closed it, or has
// sent data without a request. It does not block. A connection without access to its socket is assumed to be
// usable.
func CheckIdle(connection net.Conn) error {
	system, ok := connection.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := system.SyscallConn()
	if err != nil {
		return err
	}
	var fault error
	err = raw.Read(func(descriptor uintptr) bool {
		var buffer [1]byte
		n, err := syscall.Read(int(descriptor), buffer[:])
		switch {
		case n > 0:
			fault = ErrUnexpectedBytes
		case n == 0 && err == nil:
			fault = ErrClosedByPeer
		case errors.Is(err, syscall.EAGAIN):
		default:
			fault = err
		}
		return true
	})
	return errors.Join(fault, err)
}
