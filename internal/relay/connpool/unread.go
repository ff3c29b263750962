package connpool

import "github.com/hazelpitch/hazelpitch/internal/wirecheck"

// HasUnread reports whether bytes or the end of the stream have arrived that nobody has read yet. It does not block, and may
// be called while another goroutine reads. A connection without access to its socket counts as read.
func (c *Connection) HasUnread() bool {
	isUnread := false
	c.taken.During(func() (err error) {
		isUnread, err = wirecheck.HasUnread(c.Conn)
		return err
	})
	return isUnread
}
