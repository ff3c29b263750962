package dialing

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// unacknowledgedLimit is how long sent data may stay unacknowledged before the connection counts as dead. By
	// then the kernel has retransmitted the data after 0.2 and 0.6 s.
	unacknowledgedLimit = time.Second
	// probeInterval and probeCount configure the keep-alive probes, which detect a dead connection while nothing
	// is sent.
	probeInterval = time.Second
	probeCount    = 2
)

// WithDeadPeerDetection returns a Dial whose connections fail when their peer stops answering without a reset.
// Reads and writes then return syscall.ETIMEDOUT.
func WithDeadPeerDetection() Dial {
	dialer := &net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeInterval, Interval: probeInterval, Count: probeCount},
		Control: func(_, _ string, raw syscall.RawConn) error {
			return raw.Control(func(descriptor uintptr) {
				// Without this option the keep-alive probes still detect a dead connection.
				_ = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unacknowledgedLimit.Milliseconds()))
			})
		},
	}
	return dialer.DialContext
}
