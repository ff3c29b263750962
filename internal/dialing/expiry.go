package dialing

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// ErrExpired is the error of a write that was not begun, since its time was over.
var ErrExpired = errors.New("the time for sending is over")

// WithExpiry returns a Dial for bytes that must not arrive late. Its connections look at the
// time that remains right before each write, so that a process that stood still between its
// decision and the write sends nothing; the kernel gives up what the peer has not confirmed
// within the rest of the time; and a connection that is closed while the peer may not have
// everything is reset, which drops what is still held on the way.
func WithExpiry(dial Dial, remaining func() time.Duration) Dial {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		left := remaining()
		if left <= 0 {
			return nil, ErrExpired
		}
		connection, err := WithTimeout(dial, left)(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &expiringConnection{Conn: connection, remaining: remaining}, nil
	}
}

// expiringConnection is a connection of Expiring.
type expiringConnection struct {
	net.Conn
	remaining func() time.Duration

	mutex sync.Mutex
	// unanswered tells that something was written and nothing has come back since.
	unanswered bool
}

// Write sends the bytes unless their time is over.
func (c *expiringConnection) Write(bytes []byte) (int, error) {
	left := c.remaining()
	if left <= 0 {
		return 0, ErrExpired
	}
	c.limitUnconfirmed(left)
	c.setUnanswered(true)
	return c.Conn.Write(bytes)
}

// Read notes that the peer has answered.
func (c *expiringConnection) Read(bytes []byte) (int, error) {
	n, err := c.Conn.Read(bytes)
	if n > 0 {
		c.setUnanswered(false)
	}
	return n, err
}

// Close ends the connection, by a reset when the peer may not have everything.
func (c *expiringConnection) Close() error {
	c.mutex.Lock()
	unanswered := c.unanswered
	c.mutex.Unlock()
	if tcp, is := c.Conn.(*net.TCPConn); is && unanswered {
		_ = tcp.SetLinger(0) // fails only on a connection that is closed already
	}
	return c.Conn.Close()
}

func (c *expiringConnection) setUnanswered(unanswered bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.unanswered = unanswered
}

// limitUnconfirmed lets the kernel drop bytes that the peer does not confirm in time.
func (c *expiringConnection) limitUnconfirmed(limit time.Duration) {
	tcp, is := c.Conn.(*net.TCPConn)
	if !is {
		return
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(descriptor uintptr) { // the reset at Close holds without it
		_ = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(max(limit.Milliseconds(), 1)))
	})
}
