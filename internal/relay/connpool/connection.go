package connpool

import (
	"bufio"
	"errors"
	"net"
	"syscall"
	"time"

	"github.com/hazelpitch/hazelpitch/internal/takenerror"
	"github.com/hazelpitch/hazelpitch/internal/wirecheck"
)

const (
	// ReadBufferBytes is the size of a connection's read buffer.
	ReadBufferBytes = 4 << 10
	// DefaultIdleLimit is how long a connection may stay idle when the back end sends no keep-alive timeout.
	DefaultIdleLimit = 4 * time.Second
)

// Connection is a connection to one back end. It carries one request at a time.
type Connection struct {
	net.Conn
	// Reader reads answers. Bytes that are still buffered after an answer belong to no request.
	Reader *bufio.Reader
	// AnsweredRequests counts the requests that were answered on this connection.
	AnsweredRequests int
	// idleSince is the time at which the connection was returned to the pool; IdleLimit is how long it may stay idle.
	idleSince time.Duration
	IdleLimit time.Duration
	// openedAt is the time at which the connection was opened.
	openedAt time.Duration
	// OnReceived is called when bytes have arrived; nil means no call.
	OnReceived func()
	// OnTimeout is called when the peer has acknowledged nothing until the kernel's timeout; nil means no call.
	OnTimeout func()
	// IsIncarnationKnown is true once the peer has said that it is the incarnation which the list names.
	IsIncarnationKnown bool
	// TimedOut is true if the kernel's timeout has expired on this connection.
	TimedOut bool
	// taken keeps the error by which the connection ended, if a call other than Read got it.
	taken takenerror.Keeper
}

// NewConnection wraps a connection that was opened at the given time and on which no request was sent yet.
func NewConnection(connection net.Conn, openedAt time.Duration) *Connection {
	pooled := &Connection{Conn: connection, IdleLimit: DefaultIdleLimit, openedAt: openedAt}
	pooled.Reader = bufio.NewReaderSize(pooled, ReadBufferBytes)
	return pooled
}

// Read implements io.Reader. It calls OnReceived when bytes have arrived. It sets TimedOut and calls OnTimeout when the
// kernel's timeout has expired.
func (c *Connection) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	err = c.taken.Kept(err)
	if n > 0 && c.OnReceived != nil {
		c.OnReceived()
	}
	c.recordTimeout(err)
	return n, err
}

// recordTimeout sets TimedOut and calls OnTimeout if the error says that the kernel's timeout has expired.
func (c *Connection) recordTimeout(err error) {
	if !errors.Is(err, syscall.ETIMEDOUT) || c.TimedOut {
		return
	}
	c.TimedOut = true
	if c.OnTimeout != nil {
		c.OnTimeout()
	}
}

// Cause returns the error of a read after which the connection is not used any more. It ends a write in progress: that may have got the
// error by which the connection has ended.
func (c *Connection) Cause(err error) error {
	err = c.taken.OfRead(c.Conn, err)
	c.recordTimeout(err)
	return err
}

// ConfirmEnd returns an error if the connection has ended before the back end had received the whole request (takenerror.Keeper).
func (c *Connection) ConfirmEnd() error {
	err := c.taken.ConfirmEnd(c.Conn, nil)
	c.recordTimeout(err)
	return err
}

// Write implements io.Writer. It may be called while another goroutine reads.
func (c *Connection) Write(content []byte) (n int, err error) {
	err = c.taken.Write(func() (err error) {
		n, err = c.Conn.Write(content)
		return err
	})
	return n, err
}

// WriteAll writes buffers one after the other. It may be called while another goroutine reads.
func (c *Connection) WriteAll(buffers net.Buffers) error {
	return c.taken.Write(func() error {
		_, err := buffers.WriteTo(c.Conn)
		return err
	})
}

// Discard closes the connection. It ignores the error, since the caller already handles what failed on the connection.
func (c *Connection) Discard() { _ = c.Conn.Close() }

// isIdle reports whether the connection is open and has received nothing since its last answer. It does not block.
func (c *Connection) isIdle() bool {
	return c.Reader.Buffered() == 0 && wirecheck.CheckIdle(c.Conn) == nil
}
