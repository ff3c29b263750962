package upstream

import (
	"sync"
	"time"
)

// Interrupter breaks off the exchanges of one caller's request, whichever is under way:
// its reads and writes fail at once and later exchanges fail before anything is sent.
// It is safe for concurrent use. The zero value is ready.
type Interrupter struct {
	mutex      sync.Mutex
	connection *trackedConnection
	cause      error // nil until interrupted
	done       chan struct{}
}

// Done returns a channel that is closed by Interrupt.
func (i *Interrupter) Done() <-chan struct{} {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if i.done == nil {
		i.done = make(chan struct{})
		if i.cause != nil {
			close(i.done)
		}
	}
	return i.done
}

// Interrupt breaks off the exchange under way and forbids later ones. Only the first
// cause counts; it must not be nil.
func (i *Interrupter) Interrupt(cause error) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if i.cause != nil {
		return
	}
	i.cause = cause
	if i.done != nil {
		close(i.done)
	}
	if i.connection != nil {
		_ = i.connection.SetDeadline(longPast) // a closed connection fails by itself
	}
}

// Interrupted reports whether Interrupt was called.
func (i *Interrupter) Interrupted() bool { return i.Cause() != nil }

// Cause returns why the request was interrupted; nil when it was not.
func (i *Interrupter) Cause() error {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	return i.cause
}

var longPast = time.Unix(1, 0)

// attach makes the connection the one to break off, with the deadline given.
func (i *Interrupter) attach(connection *trackedConnection, deadline time.Time) error {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if i.cause != nil {
		return ErrInterrupted
	}
	i.connection = connection
	return connection.SetDeadline(deadline)
}

// detach forgets the connection before another request may use it.
func (i *Interrupter) detach() {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.connection = nil
}

// setReadDeadline bounds the next reads, unless interrupted.
func (i *Interrupter) setReadDeadline(deadline time.Time) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if i.connection != nil && i.cause == nil {
		_ = i.connection.SetReadDeadline(deadline) // a closed connection fails the read itself
	}
}
