// Package takenerror keeps the error by which a connection ended. The kernel tells it once, to whichever call comes first: a write in
// another goroutine may get it, and the read then sees an ordinary end of the stream. An answer that ends with its connection would
// look whole.
package takenerror

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

// Keeper keeps the error of one connection. All calls that may get it go through the keeper. It is safe for concurrent use. The zero
// value is ready to use.
type Keeper struct {
	mutex sync.Mutex
	err   error
	// writeErr is the error of the last write; nil if it was complete.
	writeErr error
	// writes is the number of writes in progress, and written is closed when it becomes 0; nil if nobody waits for that.
	writes  int
	written chan struct{}
}

// During makes a short call that may get the error. A read that meets the end of the stream waits for it.
func (k *Keeper) During(call func() error) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.keep(call())
}

// Write makes a write, which may take long, and returns its error.
func (k *Keeper) Write(write func() error) error {
	k.mutex.Lock()
	k.writes++
	k.mutex.Unlock()
	err := write()
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.keep(err)
	k.writeErr = err
	k.writes--
	if k.writes == 0 && k.written != nil {
		close(k.written)
		k.written = nil
	}
	return err
}

// Kept returns the error of a read of the connection: for the end of the stream, it is the error by which the connection has ended if
// another call has got that already.
func (k *Keeper) Kept(err error) error {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if errors.Is(err, io.EOF) && k.err != nil {
		return k.err
	}
	return err
}

// OfRead returns what Kept does for a read after which the connection is not used any more. It ends a write in progress, since that may
// have got the error just now.
func (k *Keeper) OfRead(connection net.Conn, err error) error {
	if !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
		return err
	}
	if written := k.awaitedWrites(); written != nil {
		_ = connection.SetWriteDeadline(time.Unix(1, 0)) // on a closed connection the write ends by itself
		<-written
	}
	if kept := k.Kept(io.EOF); !errors.Is(kept, io.EOF) {
		return kept
	}
	return err
}

// failure returns the error of the last write, or else the one by which the connection has ended; nil for none.
func (k *Keeper) failure() error {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if k.writeErr != nil {
		return k.writeErr
	}
	return k.err
}

// awaitedWrites returns a channel that is closed once no write is in progress; nil if none is.
func (k *Keeper) awaitedWrites() <-chan struct{} {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if k.writes > 0 && k.written == nil {
		k.written = make(chan struct{})
	}
	return k.written
}

// keep keeps an error that the kernel tells of a connection. EPIPE says only that the connection had ended before: by an ordinary end,
// or by an error that another call got. The caller holds the mutex.
func (k *Keeper) keep(err error) {
	var number syscall.Errno
	if !errors.As(err, &number) || number == syscall.EPIPE || number == syscall.EAGAIN || number == syscall.EINTR {
		return
	}
	if k.err == nil {
		k.err = err
	}
}
