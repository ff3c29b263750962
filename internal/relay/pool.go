package relay

import (
	"sync"
	"time"
)

// pool holds the idle connections to one back end, the last used first.
type pool struct {
	mutex  sync.Mutex
	idle   []*upstreamConnection
	closed bool
}

// take returns an idle connection that can carry a request, or nil. Connections that have
// rested for longer than the limit are closed, as are those on which something arrived.
func (p *pool) take(now, limit time.Duration) *upstreamConnection {
	for {
		connection := p.pop()
		if connection == nil {
			return nil
		}
		rested := now - connection.idleSince
		if rested < limit && rested < connection.idleLimit && connection.quiet() {
			return connection
		}
		connection.close()
	}
}

// holds reports whether an idle connection may carry a request, as far as it is known without looking at
// the connection.
func (p *pool) holds(now, limit time.Duration) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	last := len(p.idle) - 1
	return last >= 0 && now-p.idle[last].idleSince < min(limit, p.idle[last].idleLimit)
}

func (p *pool) pop() *upstreamConnection {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	last := len(p.idle) - 1
	if last < 0 {
		return nil
	}
	connection := p.idle[last]
	p.idle = p.idle[:last]
	return connection
}

// give puts a connection back, or closes it when the back end is gone.
func (p *pool) give(connection *upstreamConnection, now time.Duration) {
	connection.idleSince = now
	p.mutex.Lock()
	closed := p.closed
	if !closed {
		p.idle = append(p.idle, connection)
	}
	p.mutex.Unlock()
	if closed {
		connection.close()
	}
}

// close closes the idle connections; others are closed when they come back.
func (p *pool) close() {
	p.mutex.Lock()
	p.closed = true
	p.mutex.Unlock()
	p.drop()
}

// drop closes the idle connections: what has befallen one that was open as long as they were may have
// befallen them.
func (p *pool) drop() {
	p.mutex.Lock()
	idle := p.idle
	p.idle = nil
	p.mutex.Unlock()
	for _, connection := range idle {
		connection.close()
	}
}
