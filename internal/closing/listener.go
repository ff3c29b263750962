package closing

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/gravitational/trace"
)

// Listener is a listener that can be closed without resetting the connections in its accept queue. Only
// one goroutine calls Accept.
type Listener struct {
	net.Listener
	draining atomic.Bool
	// handshakesDoneAt is when the handshakes that were in progress when dropping began have ended.
	handshakesDoneAt time.Time
	closed           chan struct{}
	closeOnce        sync.Once
}

// handshakeGrace is the time allowed for handshakes in progress once new ones are dropped.
const handshakeGrace = 100 * time.Millisecond

// Listen opens a listener like net.Listen, but without multipath TCP, whose sockets accept no packet filters.
func Listen(network, address string) (net.Listener, error) {
	var config net.ListenConfig
	config.SetMultipathTCP(false)
	inner, err := config.Listen(context.Background(), network, address)
	if err != nil {
		return nil, err
	}
	return NewListener(inner), nil
}

// NewListener returns a Listener that wraps inner.
func NewListener(inner net.Listener) *Listener {
	return &Listener{Listener: inner, closed: make(chan struct{})}
}

// CloseWhenEmpty closes a listener once its queue is empty, or after the limit. A listener without support
// for this is closed at once.
func CloseWhenEmpty(listener net.Listener, limit time.Duration) error {
	if drainable, ok := listener.(interface{ CloseWhenEmpty(time.Duration) error }); ok {
		return drainable.CloseWhenEmpty(limit)
	}
	return listener.Close()
}

// Accept returns the next connection. After CloseWhenEmpty was called, it returns the connections that are
// still in the queue, then closes the listener and returns net.ErrClosed.
func (l *Listener) Accept() (net.Conn, error) {
	connection, err := l.Listener.Accept()
	if err == nil || !l.draining.Load() || !errors.Is(err, os.ErrDeadlineExceeded) {
		return connection, err
	}
	if connection, err = l.acceptPending(); err == nil {
		return connection, nil
	}
	_ = l.Close() // no connection is left to accept
	return nil, net.ErrClosed
}

// Close closes the listener at once.
func (l *Listener) Close() error {
	err := l.Listener.Close()
	l.closeOnce.Do(func() { close(l.closed) })
	return err
}

// CloseWhenEmpty drops new handshakes if the system supports it, lets Accept return the connections in the
// queue, closes the listener, and then returns. After the limit it closes the listener in any case.
func (l *Listener) CloseWhenEmpty(limit time.Duration) error {
	withDeadline, ok := l.Listener.(interface{ SetDeadline(time.Time) error })
	if !ok {
		return l.Close()
	}
	if raw, err := l.rawSocket(); err == nil && dropHandshakes(raw) == nil {
		l.handshakesDoneAt = time.Now().Add(handshakeGrace)
	}
	l.draining.Store(true)
	if err := withDeadline.SetDeadline(time.Unix(1, 0)); err != nil {
		return l.Close()
	}
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-l.closed:
		return nil
	case <-timer.C:
		return l.Close()
	}
}

func (l *Listener) rawSocket() (syscall.RawConn, error) {
	inner, ok := l.Listener.(syscall.Conn)
	if !ok {
		return nil, syscall.ENOTSUP
	}
	return inner.SyscallConn()
}

// acceptPending returns a connection from the queue. While the queue is empty and handshakes may be in progress, it
// waits. When the queue is empty and no handshake is in progress, it stops the socket from listening and returns an
// error. If new handshakes could not be dropped, a connection can arrive between the system call that finds the queue
// empty and the one that stops the socket. The second call follows the first directly, so this almost never happens.
func (l *Listener) acceptPending() (net.Conn, error) {
	raw, err := l.rawSocket()
	if err != nil {
		return nil, trace.Wrap(err)
	}
	for {
		isLastCheck := !time.Now().Before(l.handshakesDoneAt)
		accepted := -1
		if controlErr := raw.Control(func(descriptor uintptr) {
			accepted, err = acceptNonBlocking(descriptor)
			if isLastCheck && errors.Is(err, syscall.EAGAIN) {
				_ = syscall.Shutdown(int(descriptor), syscall.SHUT_RD) // the socket is closed next in any case
			}
		}); controlErr != nil {
			return nil, trace.Wrap(controlErr)
		}
		switch {
		case err == nil:
			return newConnection(accepted)
		case errors.Is(err, syscall.EINTR) || errors.Is(err, syscall.ECONNABORTED):
		case isLastCheck || !errors.Is(err, syscall.EAGAIN):
			return nil, trace.Wrap(err)
		default:
			time.Sleep(queuePollInterval)
		}
	}
}

// queuePollInterval is the time between two checks of the queue while handshakes are in progress.
const queuePollInterval = 2 * time.Millisecond

func acceptNonBlocking(descriptor uintptr) (int, error) {
	accepted, _, err := syscall.Accept4(int(descriptor), syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
	return accepted, err
}

// newConnection returns a connection for an accepted socket.
func newConnection(descriptor int) (net.Conn, error) {
	file := os.NewFile(uintptr(descriptor), "accepted connection")
	defer func() { _ = file.Close() }() // the connection has its own copy of the descriptor
	connection, err := net.FileConn(file)
	return connection, trace.Wrap(err)
}
