package gateway

import (
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/hazelpitch/hazelpitch/internal/closing"
)

// stallSlack is the part of the limit by which a stall may last longer.
const stallSlack = 4

// stallListener gives every connection a bound on how long one write may stall, so that a
// slow reader is dropped while a long stream that is read may go on.
type stallListener struct {
	net.Listener
	limit time.Duration
	// set gets the connections.
	set *closing.Set
}

// Accept implements net.Listener.
func (l *stallListener) Accept() (net.Conn, error) {
	connection, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &stallConnection{Connection: l.set.Track(connection), limit: l.limit}, nil
}

// stallConnection bounds each write by limit, and by a quarter more at most: the bound is
// moved only when it has come that near, since each move costs a timer. One goroutine writes.
type stallConnection struct {
	*closing.Connection
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
	return c.Connection.Write(data)
}

// noteState tells a connection what the server uses it for.
func noteState(connection net.Conn, state fasthttp.ConnState) {
	tracked, is := connection.(*stallConnection)
	if !is {
		return
	}
	switch state {
	case fasthttp.StateActive:
		tracked.SetState(closing.Serving)
	case fasthttp.StateIdle:
		tracked.SetState(closing.Idle)
	}
}
