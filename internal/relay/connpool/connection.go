package connpool

import (
	"bufio"
	"errors"
	"net"
	"syscall"
	"time"

	"github.com/hazelpitch/hazelpitch/internal/wirecheck"
)

const (
	// BufferSize holds the whole head of a back end's answer.
	BufferSize = 4 << 10
	// DefaultIdleLimit is how long a connection may rest when the back end names no time.
	DefaultIdleLimit = 4 * time.Second
)

// Connection is a connection to one back end. It carries one request at a time.
type Connection struct {
	net.Conn
	// Reader reads answers; what it has buffered after one belongs to no request.
	Reader *bufio.Reader
	// Served counts the requests that were answered on it.
	Served int
	// idleSince is when it was put back, IdleLimit how long it may rest.
	idleSince time.Duration
	IdleLimit time.Duration
	// WentSilent is called when the peer has not confirmed anything for too long; nil for nothing.
	WentSilent func()
	// Silent tells that it was.
	Silent bool
}

// NewConnection returns an open connection on which nothing was sent yet.
func NewConnection(connection net.Conn) *Connection {
	made := &Connection{Conn: connection, IdleLimit: DefaultIdleLimit}
	made.Reader = bufio.NewReaderSize(made, BufferSize)
	return made
}

// Read implements io.Reader.
func (c *Connection) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	if errors.Is(err, syscall.ETIMEDOUT) {
		c.Silent = true
		if c.WentSilent != nil {
			c.WentSilent()
		}
	}
	return n, err
}

// Discard closes the connection; what has failed on it is known already.
func (c *Connection) Discard() { _ = c.Conn.Close() }

// quiet reports whether the connection is open and nothing has arrived on it. It reads
// without waiting.
func (c *Connection) quiet() bool {
	return c.Reader.Buffered() == 0 && wirecheck.CheckIdle(c.Conn) == nil
}
