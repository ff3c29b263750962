package dialing

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// acceptedUnacknowledgedLimit is how long data that was sent on an accepted connection, or keep-alive probes, may stay
	// unacknowledged before the connection counts as dead. The peers give up sooner and connect again; those of former
	// versions, and operators' tools, may come back on the same connection.
	acceptedUnacknowledgedLimit = 10 * time.Second
	// acceptedProbeInterval is the interval of the keep-alive probes on accepted connections.
	acceptedProbeInterval = 5 * time.Second
)

// Listen opens a listener like net.Listen, but without multipath TCP, and with accepted connections that fail soon after their
// peer stops answering without a reset. A peer that acknowledges data but does not read it counts as silent as well.
func Listen(network, address string) (net.Listener, error) {
	config := net.ListenConfig{
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: acceptedProbeInterval, Interval: acceptedProbeInterval, Count: int(acceptedUnacknowledgedLimit / acceptedProbeInterval),
		},
		// Accepted connections inherit the option of the listener.
		Control: func(_, _ string, raw syscall.RawConn) error {
			return limitUnacknowledged(raw, acceptedUnacknowledgedLimit)
		},
	}
	config.SetMultipathTCP(false)
	return config.Listen(context.Background(), network, address)
}

// limitUnacknowledged makes connections fail once sent data, or keep-alive probes, have not been acknowledged for the limit.
// Where the system lacks the option, the probes still detect a dead connection while nothing is sent.
func limitUnacknowledged(raw syscall.RawConn, limit time.Duration) error {
	return raw.Control(func(descriptor uintptr) {
		_ = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(limit.Milliseconds()))
	})
}
