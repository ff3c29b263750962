package connpool

import (
	"slices"
	"time"
)

// CloseUnusable closes the idle connections that no request may use any more: the peer has closed them or has sent bytes without a
// request, or they were idle for too long. Get closes only those that it meets.
func (p *Pool) CloseUnusable(now time.Duration) {
	var unusable []*Connection
	p.mutex.Lock()
	p.idle = slices.DeleteFunc(p.idle, func(connection *Connection) bool {
		isUnusable := connection.hasExpired(now) || !connection.isIdle()
		if isUnusable {
			unusable = append(unusable, connection)
		}
		return isUnusable
	})
	p.mutex.Unlock()
	for _, connection := range unusable {
		connection.Discard()
	}
}

// hasExpired reports whether an idle connection was idle for too long for any request.
func (c *Connection) hasExpired(now time.Duration) bool {
	return now-c.idleSince >= min(DefaultIdleLimit, c.IdleLimit)
}
