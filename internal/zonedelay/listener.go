// Package zonedelay makes connections of one machine as slow as those between zones:
// a listener whose connections deliver and send each byte a one-way latency later.
// The latency follows from the remote address, so that only servers are wrapped.
package zonedelay

import (
	"net"
	"net/netip"
	"time"

	"github.com/hazelpitch/hazelpitch/internal/closing"
)

// LatencyFunc returns the one-way latency to a remote address.
type LatencyFunc func(remote netip.Addr) time.Duration

// Wrap returns a listener whose connections are delayed by latency. Connections
// without latency are passed on as they are.
func Wrap(inner net.Listener, latency LatencyFunc) net.Listener {
	return &listener{Listener: inner, latency: latency, unsent: new(PendingFlushes)}
}

// WrapPartitioned returns a listener whose connections are delayed by latency and held up
// by a gate's cuts. What they still have to send counts as unsent.
func WrapPartitioned(inner net.Listener, latency LatencyFunc, gate *Partitioner, unsent *PendingFlushes) net.Listener {
	return &listener{Listener: inner, latency: latency, gate: gate, unsent: unsent}
}

type listener struct {
	net.Listener
	latency LatencyFunc
	gate    *Partitioner // nil is always open
	unsent  *PendingFlushes
}

// CloseWhenEmpty closes the listener below once its queue is empty.
func (l *listener) CloseWhenEmpty(limit time.Duration) error {
	return closing.CloseWhenEmpty(l.Listener, limit)
}

// Accept returns the next connection, delayed by its remote address.
func (l *listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	remote, err := netip.ParseAddrPort(accepted.RemoteAddr().String())
	if err != nil {
		return accepted, nil
	}
	latency := l.latency(remote.Addr())
	if latency <= 0 && l.gate == nil {
		return accepted, nil
	}
	return newConn(accepted, latency, l.passes(accepted, remote.Addr()), l.unsent), nil
}

// passes returns what holds a connection up while its ends are cut from each other.
func (l *listener) passes(accepted net.Conn, remote netip.Addr) func(closed <-chan struct{}) bool {
	local, err := netip.ParseAddrPort(accepted.LocalAddr().String())
	if err != nil {
		return func(<-chan struct{}) bool { return true }
	}
	return func(closed <-chan struct{}) bool {
		return l.gate.pass(local.Addr().Unmap(), remote.Unmap(), closed)
	}
}
