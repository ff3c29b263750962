package gateway

import (
	"net"
	"syscall"
	"time"
)

// stallSlack is the part of the limit by which a stall may last longer.
const stallSlack = 4

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

// stallConnection bounds each write by limit, and by a quarter more at most: the bound is
// moved only when it has come that near, since each move costs a timer. One goroutine writes.
type stallConnection struct {
	net.Conn
	limit time.Duration
	until time.Time
}

// Write implements net.Conn.
func (c *stallConnection) Write(data []byte) (int, error) {
	needed := time.Now().Add(c.limit)
	if c.until.Before(needed) {
		c.until = needed.Add(c.limit / stallSlack)
		if err := c.SetWriteDeadline(c.until); err != nil {
			return 0, err
		}
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
