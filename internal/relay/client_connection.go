package relay

import (
	"bufio"
	"time"

	"github.com/hazelpitch/hazelpitch/internal/closing"
)

const (
	// clientBufferBytes holds the whole head of a request where the operator sets no larger bound;
	// lineRoom is added to that bound for the request line.
	clientBufferBytes = 16 << 10
	requestLineBytes  = 4 << 10
	// writeSlack is how long a client may take for the last bytes after a request's deadline.
	writeSlack = time.Second
)

// clientConnection is one connection of a client.
type clientConnection struct {
	*closing.Connection
	reader *bufio.Reader
	// watchDone is closed when the goroutine that looks for the client's end has returned;
	// nil when there is none.
	watchDone chan struct{}
	// watchErr is what the look found; read it after watched is closed.
	watchErr error
}

// newClientConnection reads heads of up to the bound.
func newClientConnection(connection *closing.Connection, headerBytes int) *clientConnection {
	size := max(headerBytes, clientBufferBytes) + requestLineBytes
	return &clientConnection{Connection: connection, reader: bufio.NewReaderSize(connection, size)}
}

// watchForClose looks for the client's end of the connection while a request is served, and
// calls gone when it comes. Bytes of a next request end the look.
func (c *clientConnection) watchForClose(onClose func()) {
	_ = c.SetReadDeadline(time.Time{})
	watchDone := make(chan struct{})
	c.watchDone = watchDone
	go func() {
		defer close(watchDone)
		_, c.watchErr = c.reader.Peek(1)
		if c.watchErr != nil {
			onClose()
		}
	}()
}

// awaitRequest waits until the first byte of the next request is there, or until the deadline.
func (c *clientConnection) awaitRequest(deadline time.Time) error {
	_ = c.SetReadDeadline(deadline)
	if c.watchDone != nil {
		<-c.watchDone
		c.watchDone = nil
		return c.watchErr
	}
	_, err := c.reader.Peek(1)
	return err
}
