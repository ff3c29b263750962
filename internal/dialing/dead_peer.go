package dialing

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// unconfirmedLimit is how long sent bytes may go without the peer's confirmation before their
	// connection counts as dead: the kernel has sent them again after 0.2 and 0.6 s by then.
	unconfirmedLimit = time.Second
	// probeInterval and probeCount are those of keep-alive probes, which find a connection that has
	// gone silent while nothing is sent.
	probeInterval = time.Second
	probeCount    = 2
)

// WithDeadPeerDetection returns a Dial whose connections end by themselves when their peer has gone silent, without
// a reset: reading from them and writing to them then fails with syscall.ETIMEDOUT.
func WithDeadPeerDetection() Dial {
	dialer := &net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeInterval, Interval: probeInterval, Count: probeCount},
		Control: func(_, _ string, raw syscall.RawConn) error {
			return raw.Control(func(descriptor uintptr) {
				// Where the option is missing the probes still find a dead connection.
				_ = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unconfirmedLimit.Milliseconds()))
			})
		},
	}
	return dialer.DialContext
}
