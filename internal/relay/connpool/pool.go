// Package connpool keeps connections to back ends between requests.
package connpool

import (
	"sync"
	"time"
)

// Pool holds the idle connections to one back end, the last used first.
type Pool struct {
	mutex  sync.Mutex
	idle   []*Connection
	closed bool
}

// Take returns an idle connection that can carry a request, or nil. Connections that have
// rested for longer than the limit are closed, as are those on which something arrived.
func (p *Pool) Take(now, limit time.Duration) *Connection {
	for {
		connection := p.pop()
		if connection == nil {
			return nil
		}
		rested := now - connection.idleSince
		if rested < limit && rested < connection.IdleLimit && connection.quiet() {
			return connection
		}
		connection.Discard()
	}
}

// Holds reports whether an idle connection may carry a request, as far as it is known without looking at
// the connection.
func (p *Pool) Holds(now, limit time.Duration) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	last := len(p.idle) - 1
	return last >= 0 && now-p.idle[last].idleSince < min(limit, p.idle[last].IdleLimit)
}

func (p *Pool) pop() *Connection {
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

// Give puts a connection back, or closes it when the back end is gone.
func (p *Pool) Give(connection *Connection, now time.Duration) {
	connection.idleSince = now
	p.mutex.Lock()
	closed := p.closed
	if !closed {
		p.idle = append(p.idle, connection)
	}
	p.mutex.Unlock()
	if closed {
		connection.Discard()
	}
}

// Close closes the idle connections; others are closed when they come back.
func (p *Pool) Close() {
	p.mutex.Lock()
	p.closed = true
	p.mutex.Unlock()
	p.Drop()
}

// Drop closes the idle connections: what has befallen one that was open as long as they were may have
// befallen them.
func (p *Pool) Drop() {
	p.mutex.Lock()
	idle := p.idle
	p.idle = nil
	p.mutex.Unlock()
	for _, connection := range idle {
		connection.Discard()
	}
}
