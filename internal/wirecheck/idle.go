package wirecheck

import (
	"errors"
	"net"
	"syscall"
)

// Faults of connections that rest.
var (
	// ErrClosedByPeer tells that the peer has closed the connection.
	ErrClosedByPeer = errors.New("connection closed by the back end while idle")
	// ErrUnexpectedBytes tells that bytes have come that nobody asked for.
	ErrUnexpectedBytes = errors.New("bytes on an idle connection")
)

// CheckIdle returns an error when a resting connection cannot carry a request: the peer has
// closed it, or has sent bytes that nobody asked for. It reads without waiting; a
// connection that is not the system's own counts as sound.
func CheckIdle(connection net.Conn) error {
	system, ok := connection.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := system.SyscallConn()
	if err != nil {
		return err
	}
	var verdict error
	err = raw.Read(func(descriptor uintptr) bool {
		var one [1]byte
		n, err := syscall.Read(int(descriptor), one[:])
		switch {
		case n > 0:
			verdict = ErrUnexpectedBytes
		case n == 0 && err == nil:
			verdict = ErrClosedByPeer
		case errors.Is(err, syscall.EAGAIN):
		default:
			verdict = err
		}
		return true
	})
	return errors.Join(verdict, err)
}
