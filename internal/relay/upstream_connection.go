package relay

import (
	"bufio"
	"errors"
	"net"
	"syscall"
	"time"

	"github.com/hazelpitch/hazelpitch/internal/wirecheck"
)

const (
	// upstreamBuffer holds the whole head of a back end's answer.
	upstreamBuffer = 4 << 10
	// defaultIdleLimit is how long a connection may rest when the back end names no time.
	defaultIdleLimit = 4 * time.Second
)

// upstreamConnection is a connection to one back end. It carries one request at a time.
type upstreamConnection struct {
	net.Conn
	reader *bufio.Reader
	// served counts the requests that were answered on it.
	served    int
	idleSince time.Duration
	idleLimit time.Duration
	// wentSilent is called when the peer has not confirmed anything for too long; nil for nothing.
	wentSilent func()
	// silent tells that it was.
	silent bool
}

func newUpstreamConnection(connection net.Conn) *upstreamConnection {
	made := &upstreamConnection{Conn: connection, idleLimit: defaultIdleLimit}
	made.reader = bufio.NewReaderSize(made, upstreamBuffer)
	return made
}

// Read implements io.Reader.
func (c *upstreamConnection) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	if errors.Is(err, syscall.ETIMEDOUT) {
		c.silent = true
		if c.wentSilent != nil {
			c.wentSilent()
		}
	}
	return n, err
}

func (c *upstreamConnection) close() { _ = c.Conn.Close() }

// quiet reports whether the connection is open and nothing has arrived on it. It reads
// without waiting.
func (c *upstreamConnection) quiet() bool {
	return c.reader.Buffered() == 0 && wirecheck.Idle(c.Conn) == nil
}
