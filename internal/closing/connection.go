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
	// ended is true from when the set's last answer is sent. Nothing else is then written or read.
	ended bool
	// resetOnClose is true if Close resets the connection.
	resetOnClose bool
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

// Close implements net.Conn. After an answer, it ends the stream to the client at once, but discards what the client still
// sends before it closes the connection: a close with unread bytes, or to which more bytes arrive, resets the connection, and
// a reset destroys the answer if the client has not read it yet.
//
// After SetResetOnClose, it resets the connection instead.
func (c *Connection) Close() error {
	writer, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok || c.mustReset() || !c.mayHoldAnswer() || writer.CloseWrite() != nil {
		c.set.remove(c)
		return c.Conn.Close()
	}
	c.set.addLingering(1)
	c.set.remove(c)
	go c.linger()
	return nil
}

// SetResetOnClose makes the end of the connection a reset, also when this process is killed, or an ordinary close again. An answer
// that ends with its connection would look complete after an ordinary close. Bytes that the client's machine has not received
// before a reset may be lost.
func (c *Connection) SetResetOnClose(mustReset bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.resetOnClose = mustReset
	connection, ok := c.Conn.(interface{ SetLinger(seconds int) error })
	if !ok {
		return
	}
	seconds := defaultLinger
	if mustReset {
		seconds = 0
	}
	_ = connection.SetLinger(seconds) // an error means that the connection is closed already
}

// defaultLinger makes the system send what was written before an ordinary close, in the background.
const defaultLinger = -1

func (c *Connection) mustReset() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.resetOnClose
}

const (
	// lingerTimeout is how long a client may continue to send after its last answer; lingerQuietTimeout is how long it may
	// send nothing without closing the connection.
	lingerTimeout      = 2 * time.Second
	lingerQuietTimeout = 500 * time.Millisecond
	lingerBufferBytes  = 2 << 10
	// maxLingerBytes bounds what is discarded: a client that sends more than the rest of a long body does not wait for its answer.
	maxLingerBytes = 8 << 20
)

// mayHoldAnswer reports whether an answer may be on its way to the client.
func (c *Connection) mayHoldAnswer() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.state == Serving || c.ended
}

// linger discards what the client sends, up to maxLingerBytes, until the client closes the connection or a timeout has passed. It
// closes the connection then.
func (c *Connection) linger() {
	defer c.set.addLingering(-1)
	defer c.Conn.Close()
	buffer := make([]byte, lingerBufferBytes)
	discarded := 0
	for until := time.Now().Add(lingerTimeout); discarded < maxLingerBytes && time.Now().Before(until); {
		if c.Conn.SetReadDeadline(time.Now().Add(lingerQuietTimeout)) != nil {
			return
		}
		n, err := c.Conn.Read(buffer)
		if err != nil {
			return
		}
		discarded += n
	}
}

// Write implements net.Conn.
func (c *Connection) Write(data []byte) (int, error) {
	if c.isEnded() {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(data)
}

func (c *Connection) isEnded() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.ended
}

// end sends the set's last answer, for a request that may be on its way.
func (c *Connection) end() {
	if len(c.set.lastAnswer) == 0 {
		return
	}
	c.mutex.Lock()
	c.ended = true
	c.mutex.Unlock()
	if c.Conn.SetWriteDeadline(time.Now().Add(lingerTimeout)) == nil {
		_, _ = c.Conn.Write(c.set.lastAnswer) // an error means that the client has gone
	}
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
		if c.isEnded() {
			return 0, net.ErrClosed
		}
		n, err := c.Conn.Read(data)
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) || !c.isCloseRequested() {
			return n, err
		}
		n, err = finalRead(c.Conn.SetReadDeadline, func() (int, error) { return c.Conn.Read(data) })
		if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.isIdle() {
			c.end()
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
