package dialing

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// unacknowledgedLimit is how long sent data or keep-alive probes may stay unacknowledged before the connection counts
	// as dead. A peer that is silent for 2 s and then goes on may receive the data up to 3.4 s after it was sent, since the
	// kernel retransmits at intervals that double from 0.2 s.
	unacknowledgedLimit = 5 * time.Second
	// probeInterval and probeCount configure the keep-alive probes, which detect a dead connection while nothing is sent.
	// The kernel ignores the count where TCP_USER_TIMEOUT is set; both give the same limit.
	probeInterval = time.Second
	probeCount    = int(unacknowledgedLimit / probeInterval)
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
