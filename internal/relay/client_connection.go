package relay

import (
	"bufio"
	"time"

	"github.com/hazelpitch/hazelpitch/internal/closing"
)

const (
	// clientBufferBytes is the smallest size of a connection's read buffer, which must hold the complete head of a request.
	// A larger configured limit for headers replaces it; requestLineBytes is added for the request line.
	clientBufferBytes = 16 << 10
	requestLineBytes  = 4 << 10
	// writeSlack is how long a client may take to receive an error answer to a malformed request.
	writeSlack = time.Second
)

// clientConnection is one connection of a client.
type clientConnection struct {
	*closing.Connection
	reader *bufio.Reader
	// isFromRelay is true for a connection on which another relay forwards requests.
	isFromRelay bool
	// watchDone is closed when the goroutine that watches for the client's close has returned; nil when there is none.
	watchDone chan struct{}
	// watchErr is the error that the watching goroutine met, nil for none; it may be read after watchDone is closed.
	watchErr error
}

// newClientConnection returns a connection whose buffer holds request heads with headers of up to headerBytes.
func newClientConnection(connection *closing.Connection, headerBytes int) *clientConnection {
	size := max(headerBytes, clientBufferBytes) + requestLineBytes
	return &clientConnection{Connection: connection, reader: bufio.NewReaderSize(connection, size)}
}

// watchForClose starts a goroutine that calls onClose when the client closes the connection while a request is served. The
// first byte of the client's next request ends the watch.
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

// awaitRequest blocks until the first byte of the next request has arrived, or until the deadline.
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
