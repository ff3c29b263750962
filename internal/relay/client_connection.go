package relay

import (
	"bufio"
	"time"

	"github.com/hazelpitch/hazelpitch/internal/closing"
)

const (
	// clientBuffer holds the whole head of a request where the operator sets no larger bound;
	// lineRoom is added to that bound for the request line.
	clientBuffer = 16 << 10
	lineRoom     = 4 << 10
	// writeSlack is how long a client may take for the last bytes after a request's deadline.
	writeSlack = time.Second
)

// clientConnection is one connection of a client.
type clientConnection struct {
	*closing.Connection
	reader *bufio.Reader
	// watched is closed when the goroutine that looks for the client's end has returned;
	// nil when there is none.
	watched chan struct{}
	// watchErr is what the look found; read it after watched is closed.
	watchErr error
}

// newClientConnection reads heads of up to the bound.
func newClientConnection(connection *closing.Connection, headerBytes int) *clientConnection {
	size := max(headerBytes, clientBuffer) + lineRoom
	return &clientConnection{Connection: connection, reader: bufio.NewReaderSize(connection, size)}
}

// watch looks for the client's end of the connection while a request is served, and
// calls gone when it comes. Bytes of a next request end the look.
func (c *clientConnection) watch(gone func()) {
	_ = c.SetReadDeadline(time.Time{})
	watched := make(chan struct{})
	c.watched = watched
	go func() {
		defer close(watched)
		_, c.watchErr = c.reader.Peek(1)
		if c.watchErr != nil {
			gone()
		}
	}()
}

// await waits until the first byte of the next request is there, or until the deadline.
func (c *clientConnection) await(deadline time.Time) error {
	_ = c.SetReadDeadline(deadline)
	if c.watched != nil {
		<-c.watched
		c.watched = nil
		return c.watchErr
	}
	_, err := c.reader.Peek(1)
	return err
}
