package connpool

import (
	"errors"
	"io"
	"sync"
	"syscall"
)

// takenError keeps the error by which a connection ended. The kernel returns it once, to whichever call comes first, and the end of the
// stream to all later ones. It is safe for concurrent use.
type takenError struct {
	mutex sync.Mutex
	err   error
}

// during runs a call that may take the error, and keeps that. orEOF waits for it.
func (t *takenError) during(call func() error) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.keepLocked(call())
}

// keep keeps the error of a call that may have taken it.
func (t *takenError) keep(err error) {
	if err == nil {
		return
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.keepLocked(err)
}

// keepLocked keeps errors that the kernel returns if the connection has ended before the peer had ended the stream. The caller holds
// the mutex.
func (t *takenError) keepLocked(err error) {
	if errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.ETIMEDOUT) {
		t.err = err
	}
}

// orEOF returns the error that was taken, or io.EOF.
func (t *takenError) orEOF() error {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.err != nil {
		return t.err
	}
	return io.EOF
}
