package upstream

import (
	"net"
	"sync/atomic"
	"time"

	"github.com/hazelpitch/hazelpitch/internal/takenerror"
	"github.com/hazelpitch/hazelpitch/internal/wirecheck"
)

// trackedConnection is a connection to a back end that counts the bytes passed to the system for sending.
type trackedConnection struct {
	net.Conn
	written atomic.Int64
	// taken keeps the error by which the connection ended, whichever of Read and Write got it.
	taken takenerror.Keeper
}

// Read implements net.Conn.
func (c *trackedConnection) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	return n, c.taken.Kept(err)
}

// Write implements net.Conn.
func (c *trackedConnection) Write(data []byte) (n int, err error) {
	err = c.taken.Write(func() (err error) {
		n, err = c.Conn.Write(data)
		return err
	})
	c.written.Add(int64(n))
	return n, err
}

// confirmEnd returns an error if the connection has ended before the back end had received the whole request.
func (c *trackedConnection) confirmEnd() error { return c.taken.ConfirmEnd(c.Conn, nil) }

// checkIdle returns an error if the idle connection cannot carry another request. It removes the deadline of the last
// exchange, with which the check itself would fail.
func (c *trackedConnection) checkIdle() error {
	if err := c.SetDeadline(time.Time{}); err != nil {
		return err
	}
	return wirecheck.CheckIdle(c.Conn)
}
