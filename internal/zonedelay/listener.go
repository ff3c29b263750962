// Package zonedelay gives connections on one machine the latency between zones, and simulates network
// partitions. The connections that its listener accepts delay all data in both directions by a one-way latency, which
// depends on the remote address, so that only the listeners of servers have to be wrapped.
package zonedelay

import (
	"net"
	"net/netip"
	"time"

	"github.com/hazelpitch/hazelpitch/internal/closing"
)

// LatencyFunc returns the one-way latency to a remote address.
type LatencyFunc func(remote netip.Addr) time.Duration

// Wrap returns a listener whose connections are delayed by latency. Connections with a latency of zero
// are returned unchanged.
func Wrap(inner net.Listener, latency LatencyFunc) net.Listener {
	return &listener{Listener: inner, latency: latency, flushes: new(PendingFlushes)}
}

// WrapPartitioned returns a listener whose connections are delayed by latency and blocked by the
// Partitioner's partitions. flushes counts closed connections that still have data to send.
func WrapPartitioned(inner net.Listener, latency LatencyFunc, partitioner *Partitioner, flushes *PendingFlushes) net.Listener {
	return &listener{Listener: inner, latency: latency, partitioner: partitioner, flushes: flushes}
}

type listener struct {
	net.Listener
	latency     LatencyFunc
	partitioner *Partitioner // nil never blocks
	flushes     *PendingFlushes
}

// CloseWhenEmpty closes the wrapped listener once its queue of connections to accept is empty, or after the limit.
func (l *listener) CloseWhenEmpty(limit time.Duration) error {
	return closing.CloseWhenEmpty(l.Listener, limit)
}

// Accept returns the next connection, with the latency of its remote address.
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
	if latency <= 0 && l.partitioner == nil {
		return accepted, nil
	}
	return newConn(accepted, latency, l.waitFunc(accepted, remote.Addr()), l.flushes), nil
}

// waitFunc returns the function that blocks a connection while its ends are partitioned from each other.
func (l *listener) waitFunc(accepted net.Conn, remote netip.Addr) func(closed <-chan struct{}) bool {
	local, err := netip.ParseAddrPort(accepted.LocalAddr().String())
	if err != nil {
		return func(<-chan struct{}) bool { return true }
	}
	return func(closed <-chan struct{}) bool {
		return l.partitioner.waitOpen(local.Addr().Unmap(), remote.Unmap(), closed)
	}
}
