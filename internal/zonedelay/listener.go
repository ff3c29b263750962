// Package zonedelay makes connections of one machine as slow as those between zones:
// a listener whose connections deliver and send each byte a one-way latency later.
// The latency follows from the remote address, so that only servers are wrapped.
package zonedelay

import (
	"net"
	"net/netip"
	"time"
)

// LatencyFunc returns the one-way latency to a remote address.
type LatencyFunc func(remote netip.Addr) time.Duration

// Wrap returns a listener whose connections are delayed by latency. Connections
// without latency are passed on as they are.
func Wrap(inner net.Listener, latency LatencyFunc) net.Listener {
	return &listener{Listener: inner, latency: latency}
}

type listener struct {
	net.Listener
	latency LatencyFunc
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
	if latency <= 0 {
		return accepted, nil
	}
	return newConn(accepted, latency), nil
}
