package upstream

import (
	"sync"
	"time"
)

// Interrupter interrupts the exchanges of one caller's request: the reads and writes of the current
// exchange fail at once, and later exchanges fail before any byte is sent. It is safe for concurrent use.
// The zero value is ready to use.
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

// Interrupt interrupts the current exchange and prevents later ones. Only the first cause is recorded; it
// must not be nil.
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
		_ = i.connection.SetDeadline(pastDeadline) // an error means that the connection is closed already
	}
}

// Interrupted reports whether Interrupt was called.
func (i *Interrupter) Interrupted() bool { return i.Cause() != nil }

// Cause returns the cause of the interruption; nil if there was none.
func (i *Interrupter) Cause() error {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	return i.cause
}

var pastDeadline = time.Unix(1, 0)

// attach makes the given connection the one that Interrupt interrupts, and sets its deadline. It returns
// ErrInterrupted if Interrupt was called already.
func (i *Interrupter) attach(connection *trackedConnection, deadline time.Time) error {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if i.cause != nil {
		return ErrInterrupted
	}
	i.connection = connection
	return connection.SetDeadline(deadline)
}

// detach removes the connection before another request may use it.
func (i *Interrupter) detach() {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.connection = nil
}

// setReadDeadline sets the deadline of the next reads, unless the exchange was interrupted.
func (i *Interrupter) setReadDeadline(deadline time.Time) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if i.connection != nil && i.cause == nil {
		_ = i.connection.SetReadDeadline(deadline) // on a closed connection the read itself fails
	}
}
