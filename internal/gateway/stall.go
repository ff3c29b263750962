package gateway

import (
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/hazelpitch/hazelpitch/internal/closing"
)

// stallSlackDivisor is the divisor of a write deadline's limit that gives the deadline's slack: a quarter of the limit.
const stallSlackDivisor = 4

// stallListener bounds how long one write on a connection may stall. A
// slow reader is disconnected, while a long stream that is being read continues.
type stallListener struct {
	net.Listener
	limit time.Duration
	// set tracks the accepted connections.
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

// stallConnection lets each write take limit, plus at most a quarter of it: the deadline is moved only when
// less than limit remains, because each move costs a timer. Only one goroutine may write.
type stallConnection struct {
	*closing.Connection
	limit         time.Duration
	writeDeadline time.Time
}

// Write implements net.Conn.
func (c *stallConnection) Write(data []byte) (int, error) {
	needed := time.Now().Add(c.limit)
	if c.writeDeadline.Before(needed) {
		c.writeDeadline = needed.Add(c.limit / stallSlackDivisor)
		if err := c.SetWriteDeadline(c.writeDeadline); err != nil {
			return 0, err
		}
	}
	return c.Connection.Write(data)
}

// trackState records whether the server uses a connection or keeps it idle.
func trackState(connection net.Conn, state fasthttp.ConnState) {
	tracked, ok := connection.(*stallConnection)
	if !ok {
		return
	}
	switch state {
	case fasthttp.StateActive:
		tracked.SetState(closing.Serving)
	case fasthttp.StateIdle:
		tracked.SetState(closing.Idle)
	}
}
