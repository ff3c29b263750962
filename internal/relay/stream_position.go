package relay

import "sync"

// streamPosition is how much of a stream its client has, or will have with the next write. It is safe for concurrent use.
type streamPosition struct {
	mutex sync.Mutex
	// lastEventID is the identity of the last event; empty for none.
	lastEventID string
	// hasEvents is true if the relay has received events of the stream.
	hasEvents bool
}

// advance records the identity of the last event; it ignores an empty one.
func (p *streamPosition) advance(id string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if id != "" {
		p.lastEventID = id
	}
}

// addEvent records an event that the relay has received.
func (p *streamPosition) addEvent(id string) {
	p.advance(id)
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.hasEvents = true
}

// lastID returns the identity of the last event; empty for none.
func (p *streamPosition) lastID() string {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.lastEventID
}

// hasBegun reports whether the relay has received events of the stream.
func (p *streamPosition) hasBegun() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.hasEvents
}
