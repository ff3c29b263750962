package relay

import (
	"sync"
	"time"

	"github.com/hazelpitch/hazelpitch/internal/relay/connpool"
)

// canceller aborts the exchange in progress when the client disconnects, and those of its children. It is safe for concurrent use; the
// zero value is ready to use.
type canceller struct {
	mutex      sync.Mutex
	connection *connpool.Connection
	// deadline is when the exchange on the connection must end.
	deadline  time.Duration
	cancelled bool
	// stopped is true if the relay has cancelled the request at the end of its own stop; the client still awaits an answer.
	stopped bool
	// doneChannel is closed by cancel; nil until done is called.
	doneChannel chan struct{}
	// children abort further exchanges of the request.
	children []*canceller
}

// newChild returns a canceller for a further exchange of the request. It is cancelled with the request, and can be cancelled alone.
func (c *canceller) newChild() *canceller {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	child := &canceller{cancelled: c.cancelled, stopped: c.stopped}
	c.children = append(c.children, child)
	return child
}

// attach sets the connection that cancel aborts, and the deadline of the exchange on it. It returns false when the request
// is cancelled already.
func (c *canceller) attach(connection *connpool.Connection, deadline time.Duration) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.connection, c.deadline = connection, deadline
	return !c.cancelled
}

// resetDeadline sets the deadline of the exchange in progress again, after the machine was suspended.
func (c *canceller) resetDeadline(steady clock) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.connection != nil && !c.cancelled {
		_ = c.connection.SetDeadline(steady.at(c.deadline)) // a closed connection needs no deadline
	}
	for _, child := range c.children {
		child.resetDeadline(steady)
	}
}

// extend sets a later deadline of the exchange in progress.
func (c *canceller) extend(steady clock, deadline time.Duration) {
	c.mutex.Lock()
	c.deadline = deadline
	children := c.children
	c.mutex.Unlock()
	c.resetDeadline(steady)
	for _, child := range children {
		child.extend(steady, deadline)
	}
}

func (c *canceller) detach() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.connection = nil
}

// cancel aborts the exchange in progress and prevents later ones.
func (c *canceller) cancel() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.doneChannel != nil && !c.cancelled {
		close(c.doneChannel)
	}
	c.cancelled = true
	if c.connection != nil {
		_ = c.connection.SetDeadline(time.Unix(1, 0)) // a closed connection needs no deadline
	}
	for _, child := range c.children {
		child.cancel()
	}
}

// stop cancels the request because the relay exits.
func (c *canceller) stop() {
	c.mutex.Lock()
	c.stopped = !c.cancelled
	c.mutex.Unlock()
	c.cancel()
}

// hasClientLeft reports whether the request was cancelled because the client has disconnected.
func (c *canceller) hasClientLeft() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.cancelled && !c.stopped
}

// done returns a channel that is closed when the client has disconnected.
func (c *canceller) done() <-chan struct{} {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.doneChannel == nil {
		c.doneChannel = make(chan struct{})
		if c.cancelled {
			close(c.doneChannel)
		}
	}
	return c.doneChannel
}

func (c *canceller) isCancelled() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.cancelled
}
