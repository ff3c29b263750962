package closing

import (
	"errors"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// State is what a connection is used for at the moment.
type State int

// States.
const (
	// Fresh is a connection on which nothing has come yet.
	Fresh State = iota
	// Serving is one on which a request is read or served.
	Serving
	// Idle is one whose last request was answered.
	Idle
)

// Connection is a client's connection that can be ended while it rests. One goroutine at a time reads
// from it.
type Connection struct {
	net.Conn
	set *Set

	mutex sync.Mutex
	state State
	// since is when the state began.
	since time.Time
	// ending tells that its end was asked for; deadline is the reader's own.
	ending   bool
	deadline time.Time
}

// SetState notes what the connection is used for from now on.
func (c *Connection) SetState(state State) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.state, c.since = state, time.Now()
}

// SetReadDeadline implements net.Conn; the deadline counts again once a connection that was to end has
// got another request.
func (c *Connection) SetReadDeadline(deadline time.Time) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.deadline = deadline
	if c.ending {
		return nil
	}
	return c.Conn.SetReadDeadline(deadline)
}

// Close implements net.Conn.
func (c *Connection) Close() error {
	c.set.remove(c)
	return c.Conn.Close()
}

// end asks for the connection's end unless a request is being served on it, or something came on it
// since the time. The goroutine that reads it then gets a timeout.
func (c *Connection) end(quietSince time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.ending || c.state == Serving || c.since.After(quietSince) {
		return
	}
	c.ending = true
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0)) // a connection that fails has ended
}

// Read implements net.Conn. When the connection's end was asked for it looks once more for a request
// that has reached it.
func (c *Connection) Read(data []byte) (int, error) {
	for {
		n, err := c.Conn.Read(data)
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) || !c.isEnding() {
			return n, err
		}
		n, err = lookOnce(c.Conn.SetReadDeadline, func() (int, error) { return c.Conn.Read(data) })
		if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.rests() {
			return 0, err
		}
		if resumed := c.resume(); resumed != nil {
			return n, resumed
		}
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
	}
}

func (c *Connection) isEnding() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.ending
}

func (c *Connection) rests() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.state != Serving
}

// resume takes the wish for an end back: a request has come.
func (c *Connection) resume() error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.ending = false
	return c.Conn.SetReadDeadline(c.deadline)
}

// SyscallConn implements syscall.Conn when the connection below does.
func (c *Connection) SyscallConn() (syscall.RawConn, error) {
	system, can := c.Conn.(syscall.Conn)
	if !can {
		return nil, syscall.ENOTSUP
	}
	return system.SyscallConn()
}

// lookTime is how long a last look waits for something to come.
const lookTime = 50 * time.Millisecond

// lookOnce reads with a deadline that had not passed when the read began, so that a timeout means that
// there was nothing.
func lookOnce(setDeadline func(time.Time) error, read func() (int, error)) (int, error) {
	for {
		began := time.Now()
		if err := setDeadline(began.Add(lookTime)); err != nil {
			return 0, err
		}
		if time.Since(began) < lookTime/2 { // else this process may have stood still
			return read()
		}
	}
}
