// Package connpool keeps idle connections to back ends for reuse between requests.
package connpool

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Pool holds the idle connections to one back end and reuses the most recently used one first. It is safe for concurrent use.
type Pool struct {
	mutex     sync.Mutex
	idle      []*Connection
	closed    bool
	suspicion suspicion
	// isSuspicious is true while the suspicion is active. It spares reads the mutex.
	isSuspicious atomic.Bool
}

// Watch makes bytes and timeouts of an open connection update the pool.
func (p *Pool) Watch(connection *Connection) {
	connection.OnReceived = func() { p.recordReceived(connection.openedAt) }
	connection.OnTimeout = p.CloseIdle // the other connections have probably lost their peer as well
}

// Suspect records that the back end has been silent since the given time on a connection that awaits an answer. Get then
// returns no connection from before, until bytes arrive on one of them.
func (p *Pool) Suspect(silentSince time.Duration) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.suspicion.begin(silentSince)
	p.isSuspicious.Store(true)
}

// recordReceived records that bytes have arrived on a connection that was opened at the given time.
func (p *Pool) recordReceived(openedAt time.Duration) {
	if !p.isSuspicious.Load() {
		return
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.suspicion.recordReceived(openedAt)
	p.isSuspicious.Store(p.suspicion.isActive)
}

// Get removes an idle connection that can carry a request from the pool; it returns nil when there is none. It closes
// connections that were idle for longer than the limit or their own IdleLimit, and those that received unexpected bytes. It
// leaves those in the pool that are suspect or unconfirmed.
func (p *Pool) Get(now, limit time.Duration) *Connection {
	p.closeExpiredSuspects(now)
	var unconfirmed []*Connection
	defer func() { p.putBack(unconfirmed) }()
	for {
		connection := p.pop()
		if connection == nil {
			return nil
		}
		idleTime := now - connection.idleSince
		switch {
		case idleTime >= limit || idleTime >= connection.IdleLimit || !connection.isIdle():
			connection.Discard()
		case idleTime >= MaxConfirmationAge && isUnconfirmed(connection.Conn):
			unconfirmed = append(unconfirmed, connection)
		default:
			return connection
		}
	}
}

// putBack returns connections to the pool that were taken from its end and carried no request.
func (p *Pool) putBack(connections []*Connection) {
	slices.Reverse(connections)
	for _, connection := range connections {
		p.Put(connection, connection.idleSince)
	}
}

// HasIdle reports whether an idle connection within its idle limits is available. It does not check whether that
// connection is still open.
func (p *Pool) HasIdle(now, limit time.Duration) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	last := p.lastTrusted()
	return last >= 0 && now-p.idle[last].idleSince < min(limit, p.idle[last].IdleLimit)
}

func (p *Pool) pop() *Connection {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	last := p.lastTrusted()
	if last < 0 {
		return nil
	}
	connection := p.idle[last]
	p.idle = slices.Delete(p.idle, last, last+1)
	return connection
}

// lastTrusted returns the index of the most recently used connection that is not suspect; -1 when there is none. The caller
// holds the mutex.
func (p *Pool) lastTrusted() int {
	last := len(p.idle) - 1
	for last >= 0 && p.suspicion.covers(p.idle[last].openedAt) {
		last--
	}
	return last
}

// closeExpiredSuspects closes the suspect connections whose idle limits have passed. Get does not reach them.
func (p *Pool) closeExpiredSuspects(now time.Duration) {
	if !p.isSuspicious.Load() {
		return
	}
	var expired []*Connection
	p.mutex.Lock()
	p.idle = slices.DeleteFunc(p.idle, func(connection *Connection) bool {
		isExpired := p.suspicion.covers(connection.openedAt) && connection.hasExpired(now)
		if isExpired {
			expired = append(expired, connection)
		}
		return isExpired
	})
	p.mutex.Unlock()
	for _, connection := range expired {
		connection.Discard()
	}
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
