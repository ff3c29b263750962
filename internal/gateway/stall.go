package gateway

import (
	"net"
	"syscall"
	"time"
)

// stallListener gives every connection a bound on how long one write may stall, so that a
// slow reader is dropped while a long stream that is read may go on.
type stallListener struct {
	net.Listener
	limit time.Duration
}

// Accept implements net.Listener.
func (l *stallListener) Accept() (net.Conn, error) {
	connection, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &stallConnection{Conn: connection, limit: l.limit}, nil
}

// stallConnection sets a deadline before each write.
type stallConnection struct {
	net.Conn
	limit time.Duration
}

// Write implements net.Conn.
func (c *stallConnection) Write(data []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.limit)); err != nil {
		return 0, err
	}
	return c.Conn.Write(data)
}

// SyscallConn implements syscall.Conn when the connection below does.
func (c *stallConnection) SyscallConn() (syscall.RawConn, error) {
	system, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, syscall.ENOTSUP
	}
	return system.SyscallConn()
}
