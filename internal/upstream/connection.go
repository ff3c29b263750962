package upstream

import (
	"net"
	"sync/atomic"
	"time"

	"github.com/hazelpitch/hazelpitch/internal/wirecheck"
)

// trackedConnection is a connection to a back end that counts the bytes passed to the system for sending.
type trackedConnection struct {
	net.Conn
	written atomic.Int64
}

func (c *trackedConnection) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.written.Add(int64(n))
	return n, err
}

// checkIdle returns an error if the idle connection cannot carry another request. It removes the deadline of the last
// exchange, with which the check itself would fail.
func (c *trackedConnection) checkIdle() error {
	if err := c.SetDeadline(time.Time{}); err != nil {
		return err
	}
	return wirecheck.CheckIdle(c.Conn)
}
