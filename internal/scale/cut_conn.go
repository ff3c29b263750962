package scale

import (
	"net"
	"sync"
	"sync/atomic"
)

// cutConn is a connection between two zones that can be cut.
type cutConn struct {
	net.Conn
	network *Network
	between Cut
	// broken tells that bytes were or may have been swallowed.
	broken atomic.Bool
	once   sync.Once
	closed chan struct{}
}

// Read returns what arrived; nothing arrives any more once the connection was cut.
func (c *cutConn) Read(buffer []byte) (int, error) {
	count, err := c.Conn.Read(buffer)
	if err != nil {
		return count, err
	}
	if c.broken.Load() {
		<-c.closed
		return 0, net.ErrClosed
	}
	return count, nil
}

// Write sends; what is written to a connection that was cut is lost.
func (c *cutConn) Write(buffer []byte) (int, error) {
	if c.broken.Load() {
		return len(buffer), nil
	}
	return c.Conn.Write(buffer)
}

// Close closes the connection.
func (c *cutConn) Close() error {
	c.once.Do(func() {
		close(c.closed)
		c.network.remove(c)
	})
	return c.Conn.Close()
}
