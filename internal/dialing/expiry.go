package dialing

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// ErrExpired is the error of a write that was not started because the time for it had passed.
var ErrExpired = errors.New("the time for sending has passed")

// WithExpiry returns a Dial for data that must not arrive late. Its connections check the remaining time right
// before each write, so that a process that was paused after its decision sends nothing. The kernel drops a
// connection whose peer does not acknowledge the data within the remaining time. A connection that is closed
// while the peer may not have received everything is reset, which discards data that is still buffered.
func WithExpiry(dial Dial, remaining func() time.Duration) Dial {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		timeLeft := remaining()
		if timeLeft <= 0 {
			return nil, ErrExpired
		}
		connection, err := WithTimeout(dial, timeLeft)(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &expiringConnection{Conn: connection, remaining: remaining}, nil
	}
}

// expiringConnection is a connection opened by a Dial of WithExpiry.
type expiringConnection struct {
	net.Conn
	remaining func() time.Duration

	mutex sync.Mutex
	// unanswered is true from a write until the next data arrives from the peer.
	unanswered bool
}

// Write writes the data unless the time for it has passed.
func (c *expiringConnection) Write(bytes []byte) (int, error) {
	timeLeft := c.remaining()
	if timeLeft <= 0 {
		return 0, ErrExpired
	}
	c.setUserTimeout(timeLeft)
	c.setUnanswered(true)
	return c.Conn.Write(bytes)
}

// Read reads data and records that the peer has answered.
func (c *expiringConnection) Read(bytes []byte) (int, error) {
	n, err := c.Conn.Read(bytes)
	if n > 0 {
		c.setUnanswered(false)
	}
	return n, err
}

// Close closes the connection, by a reset if the peer may not have received everything.
func (c *expiringConnection) Close() error {
	c.mutex.Lock()
	unanswered := c.unanswered
	c.mutex.Unlock()
	if tcp, ok := c.Conn.(*net.TCPConn); ok && unanswered {
		_ = tcp.SetLinger(0) // fails only if the connection is closed already
	}
	return c.Conn.Close()
}

func (c *expiringConnection) setUnanswered(unanswered bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.unanswered = unanswered
}

// setUserTimeout makes the kernel drop the connection if the peer does not acknowledge data in time.
func (c *expiringConnection) setUserTimeout(limit time.Duration) {
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(descriptor uintptr) { // on failure, the reset by Close still applies
		_ = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(max(limit.Milliseconds(), 1)))
	})
}
