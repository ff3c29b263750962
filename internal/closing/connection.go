package closing

import (
	"errors"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// State is the current use of a connection.
type State int

// States of a connection.
const (
	// Fresh is a connection on which no byte has arrived yet.
	Fresh State = iota
	// Serving is a connection on which a request is being read or served.
	Serving
	// Idle is a connection whose last request was answered.
	Idle
)

// Connection is a client's connection that can be closed while it is idle. Only one goroutine at a time
// reads from it.
type Connection struct {
	net.Conn
	set *Set

	mutex sync.Mutex
	state State
	// stateSince is when the state last changed.
	stateSince time.Time
	// closeRequested is set once the connection is to be closed; readDeadline is the deadline set by the
	// reader.
	closeRequested bool
	readDeadline   time.Time
}

// SetState sets the use of the connection from now on.
func (c *Connection) SetState(state State) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.state, c.stateSince = state, time.Now()
}

// SetReadDeadline implements net.Conn. While a close is requested, the deadline is only stored; it applies
// again if the connection receives another request.
func (c *Connection) SetReadDeadline(deadline time.Time) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.readDeadline = deadline
	if c.closeRequested {
		return nil
	}
	return c.Conn.SetReadDeadline(deadline)
}

// Close implements net.Conn.
func (c *Connection) Close() error {
	c.set.remove(c)
	return c.Conn.Close()
}

// requestClose requests the connection to be closed, unless a request is being served on it or its state
// has changed after quietSince. A read that waits for the client's next request then times out.
func (c *Connection) requestClose(quietSince time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.closeRequested || c.state == Serving || c.stateSince.After(quietSince) {
		return
	}
	c.closeRequested = true
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0)) // an error means that the connection is closed already
}

// Read implements net.Conn. When a close is requested, it makes a final read for a request that has
// already arrived.
func (c *Connection) Read(data []byte) (int, error) {
	for {
		n, err := c.Conn.Read(data)
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) || !c.isCloseRequested() {
			return n, err
		}
		n, err = finalRead(c.Conn.SetReadDeadline, func() (int, error) { return c.Conn.Read(data) })
		if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.isIdle() {
			return 0, err
		}
		if resumed := c.cancelClose(); resumed != nil {
			return n, resumed
		}
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
	}
}

func (c *Connection) isCloseRequested() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.closeRequested
}

func (c *Connection) isIdle() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.state != Serving
}

// cancelClose withdraws the request to close, because a request has arrived, and applies the reader's
// deadline again.
func (c *Connection) cancelClose() error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.closeRequested = false
	return c.Conn.SetReadDeadline(c.readDeadline)
}

// SyscallConn implements syscall.Conn if the underlying connection does.
func (c *Connection) SyscallConn() (syscall.RawConn, error) {
	inner, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, syscall.ENOTSUP
	}
	return inner.SyscallConn()
}

// finalReadTimeout is how long a final read waits for data.
const finalReadTimeout = 50 * time.Millisecond

// finalRead reads with a deadline that had not passed when the read began, so that a timeout proves that no
// data was there.
func finalRead(setDeadline func(time.Time) error, read func() (int, error)) (int, error) {
	for {
		startedAt := time.Now()
		if err := setDeadline(startedAt.Add(finalReadTimeout)); err != nil {
			return 0, err
		}
		if time.Since(startedAt) < finalReadTimeout/2 { // otherwise the process may have been paused in between
			return read()
		}
	}
}
