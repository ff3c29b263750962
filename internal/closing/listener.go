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

// Listener is a listener that can be closed without resetting the connections in its queue. Its
// connections are accepted by one goroutine.
type Listener struct {
	net.Listener
	emptying atomic.Bool
	// settled is when handshakes that had begun are through.
	settled time.Time
	closed  chan struct{}
	once    sync.Once
}

// settleTime is how long handshakes that have begun may take once new ones are turned away.
const settleTime = 100 * time.Millisecond

// Listen opens a listener as net.Listen does, but for one path only: sockets for several paths take no filters.
func Listen(network, address string) (net.Listener, error) {
	var config net.ListenConfig
	config.SetMultipathTCP(false)
	inner, err := config.Listen(context.Background(), network, address)
	if err != nil {
		return nil, err
	}
	return NewListener(inner), nil
}

// NewListener wraps a listener.
func NewListener(inner net.Listener) *Listener {
	return &Listener{Listener: inner, closed: make(chan struct{})}
}

// CloseWhenEmpty closes a listener once its queue is empty, or after the limit. One that does not know
// how is closed at once.
func CloseWhenEmpty(listener net.Listener, limit time.Duration) error {
	if emptying, can := listener.(interface{ CloseWhenEmpty(time.Duration) error }); can {
		return emptying.CloseWhenEmpty(limit)
	}
	return listener.Close()
}

// Accept returns the next connection. While the listener is being emptied it returns what waits in the
// queue, then closes the listener and returns net.ErrClosed.
func (l *Listener) Accept() (net.Conn, error) {
	connection, err := l.Listener.Accept()
	if err == nil || !l.emptying.Load() || !errors.Is(err, os.ErrDeadlineExceeded) {
		return connection, err
	}
	if connection, err = l.acceptLast(); err == nil {
		return connection, nil
	}
	_ = l.Close() // it takes no connections any more
	return nil, net.ErrClosed
}

// Close closes the listener at once.
func (l *Listener) Close() error {
	err := l.Listener.Close()
	l.once.Do(func() { close(l.closed) })
	return err
}

// CloseWhenEmpty turns new handshakes away where the system can, lets Accept return the connections that
// wait, closes the listener, and returns then. After the limit it closes it all the same.
func (l *Listener) CloseWhenEmpty(limit time.Duration) error {
	waking, can := l.Listener.(interface{ SetDeadline(time.Time) error })
	if !can {
		return l.Close()
	}
	if raw, err := l.socket(); err == nil && refuseHandshakes(raw) == nil {
		l.settled = time.Now().Add(settleTime)
	}
	l.emptying.Store(true)
	if err := waking.SetDeadline(time.Unix(1, 0)); err != nil {
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

func (l *Listener) socket() (syscall.RawConn, error) {
	system, can := l.Listener.(syscall.Conn)
	if !can {
		return nil, syscall.ENOTSUP
	}
	return system.SyscallConn()
}

// acceptLast returns a connection that waits, or an error when none does and handshakes are through. It
// then ends the socket's listening in the next call to the system, so that hardly anyone comes in between
// where new handshakes could not be turned away.
func (l *Listener) acceptLast() (net.Conn, error) {
	raw, err := l.socket()
	if err != nil {
		return nil, trace.Wrap(err)
	}
	for {
		last := !time.Now().Before(l.settled)
		accepted := -1
		if controlErr := raw.Control(func(descriptor uintptr) {
			accepted, err = acceptNow(descriptor)
			if last && errors.Is(err, syscall.EAGAIN) {
				_ = syscall.Shutdown(int(descriptor), syscall.SHUT_RD) // it is closed next in any case
			}
		}); controlErr != nil {
			return nil, trace.Wrap(controlErr)
		}
		switch {
		case err == nil:
			return connectionOf(accepted)
		case errors.Is(err, syscall.EINTR) || errors.Is(err, syscall.ECONNABORTED):
		case last || !errors.Is(err, syscall.EAGAIN):
			return nil, trace.Wrap(err)
		default:
			time.Sleep(settlePoll)
		}
	}
}

// settlePoll is the time between two looks into the queue while handshakes may still end.
const settlePoll = 2 * time.Millisecond

func acceptNow(descriptor uintptr) (int, error) {
	accepted, _, err := syscall.Accept4(int(descriptor), syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
	return accepted, err
}

// connectionOf makes a connection of an accepted socket.
func connectionOf(descriptor int) (net.Conn, error) {
	file := os.NewFile(uintptr(descriptor), "accepted connection")
	defer func() { _ = file.Close() }() // the connection has a descriptor of its own
	connection, err := net.FileConn(file)
	return connection, trace.Wrap(err)
}
