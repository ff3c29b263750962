package upstream

import (
	"errors"
	"net"
	"sync/atomic"
	"syscall"
)

// trackedConnection counts what was handed to the system for sending.
type trackedConnection struct {
	net.Conn
	written atomic.Int64
}

func (c *trackedConnection) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.written.Add(int64(n))
	return n, err
}

var errClosedByPeer = errors.New("connection closed by the back end while idle")

// checkIdle returns an error when an idle connection cannot carry a request: the peer has
// closed it, or has sent bytes that nobody asked for. It reads without waiting.
func (c *trackedConnection) checkIdle() error {
	system, ok := c.Conn.(syscall.Conn)
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
			verdict = errUnexpectedBytes
		case n == 0 && err == nil:
			verdict = errClosedByPeer
		case errors.Is(err, syscall.EAGAIN):
		default:
			verdict = err
		}
		return true
	})
	return errors.Join(verdict, err)
}

var errUnexpectedBytes = errors.New("bytes on an idle connection")
