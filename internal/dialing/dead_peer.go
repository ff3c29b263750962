package dialing

import (
	"net"
	"syscall"
	"time"
)

const (
	// backEndUnacknowledgedLimit is how long data that was sent to a back end, or keep-alive probes, may stay unacknowledged
	// before the connection counts as dead. A peer that is silent for 2 s and then goes on may receive the data up to 3.4 s
	// after it was sent, since the kernel retransmits at intervals that double from 0.2 s.
	backEndUnacknowledgedLimit = 5 * time.Second
	// peerUnacknowledgedLimit is the same for connections between the system's own processes. What is lost with such a
	// connection is sent again, and a new one reaches the peer as soon as the network does, while the kernel's next
	// retransmission may wait for as long as the silence has lasted.
	peerUnacknowledgedLimit = time.Second
	// probeInterval is the interval of the keep-alive probes, which detect a dead connection while nothing is sent.
	probeInterval = time.Second
)

// WithDeadPeerDetection returns a Dial for back ends, whose connections fail when their peer stops answering without a reset.
// Reads and writes then return syscall.ETIMEDOUT.
func WithDeadPeerDetection() Dial {
	return detectDeadPeers(net.Dialer{}, backEndUnacknowledgedLimit).DialContext
}

// ToBackEnds is WithDeadPeerDetection with a source IP; an empty source lets the system choose.
func ToBackEnds(source string) (Dial, error) {
	dialer, err := dialerFrom(source)
	if err != nil {
		return nil, err
	}
	return detectDeadPeers(dialer, backEndUnacknowledgedLimit).DialContext, nil
}

// ToPeers returns a Dial for connections between the system's own processes, with the given source IP; an empty source lets
// the system choose. An attempt ends after PeerTimeout, and a connection fails with syscall.ETIMEDOUT soon after its peer
// stops answering without a reset.
func ToPeers(source string) (Dial, error) {
	dialer, err := dialerFrom(source)
	if err != nil {
		return nil, err
	}
	return WithTimeout(detectDeadPeers(dialer, peerUnacknowledgedLimit).DialContext, PeerTimeout), nil
}

// FromOperators returns a Dial for an operator's connections to controllers. They fail as those of ToPeers do, but an attempt
// lasts up to operatorTimeout.
func FromOperators() Dial {
	return WithTimeout(detectDeadPeers(net.Dialer{}, peerUnacknowledgedLimit).DialContext, operatorTimeout)
}

// detectDeadPeers returns the dialer with socket options that make its connections fail once sent data, or the keep-alive
// probes, have not been acknowledged for the limit.
func detectDeadPeers(dialer net.Dialer, limit time.Duration) *net.Dialer {
	// The kernel ignores the count of probes where TCP_USER_TIMEOUT is set; both give the same limit.
	dialer.KeepAliveConfig = net.KeepAliveConfig{Enable: true, Idle: probeInterval, Interval: probeInterval, Count: int(limit / probeInterval)}
	dialer.Control = func(_, _ string, raw syscall.RawConn) error { return limitUnacknowledged(raw, limit) }
	return &dialer
}
