// Package connpool keeps idle connections to back ends for reuse between requests.
package connpool

import (
	"sync"
	"time"
)

// Pool holds the idle connections to one back end and reuses the most recently used one first. It is safe for concurrent use.
type Pool struct {
	mutex  sync.Mutex
	idle   []*Connection
	closed bool
}

// Get removes an idle connection that can carry a request from the pool; it returns nil when there is none. It closes
// connections that were idle for longer than the limit or their own IdleLimit, and those that received unexpected bytes.
func (p *Pool) Get(now, limit time.Duration) *Connection {
	for {
		connection := p.pop()
		if connection == nil {
			return nil
		}
		idleTime := now - connection.idleSince
		if idleTime < limit && idleTime < connection.IdleLimit && connection.isIdle() {
			return connection
		}
		connection.Discard()
	}
}

// HasIdle reports whether an idle connection within its idle limits is available. It does not check whether that
// connection is still open.
func (p *Pool) HasIdle(now, limit time.Duration) bool {
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

// Put returns a connection to the pool; it closes the connection when the pool is closed.
func (p *Pool) Put(connection *Connection, now time.Duration) {
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

// Close closes the idle connections. Connections in use are closed when they are returned.
func (p *Pool) Close() {
	p.mutex.Lock()
	p.closed = true
	p.mutex.Unlock()
	p.CloseIdle()
}

// CloseIdle closes the idle connections. It is called after a failure of one connection, since the others to the same
// back end may have failed in the same way.
func (p *Pool) CloseIdle() {
	p.mutex.Lock()
	idle := p.idle
	p.idle = nil
	p.mutex.Unlock()
	for _, connection := range idle {
		connection.Discard()
	}
}
