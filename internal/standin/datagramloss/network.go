// Package datagramloss loses datagrams between the sockets of a test, as a network does that is cut.
package datagramloss

import (
	"net"
	"net/netip"
	"slices"
	"sync"
)

// Network is a network between wrapped sockets. A datagram that it loses does not arrive, and its sender is not told. It is safe for
// concurrent use.
type Network struct {
	mutex  sync.Mutex
	losses []*Loss
}

// Loss decides which datagrams are lost.
type Loss struct {
	// IsLost reports whether a datagram is lost. It must not call the Network.
	IsLost func(from, to netip.AddrPort) bool

	mutex sync.Mutex
	count int
}

// Count returns the number of datagrams that were lost so far.
func (l *Loss) Count() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.count
}

// Begin loses datagrams until end is called; further calls of end do nothing. A datagram that arrives in that time is judged when it is
// read.
func (n *Network) Begin(loss *Loss) (end func()) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.losses = append(n.losses, loss)
	return func() {
		n.mutex.Lock()
		defer n.mutex.Unlock()
		n.losses = slices.DeleteFunc(n.losses, func(begun *Loss) bool { return begun == loss })
	}
}

// Between returns a loss of all datagrams from the senders to the receivers.
func Between(senders, receivers []netip.Addr) *Loss {
	return &Loss{IsLost: func(from, to netip.AddrPort) bool {
		return from.Addr() != to.Addr() && slices.Contains(senders, from.Addr()) && slices.Contains(receivers, to.Addr())
	}}
}

// Wrap returns a socket on the network.
func (n *Network) Wrap(socket net.PacketConn) net.PacketConn {
	return &lossySocket{PacketConn: socket, network: n}
}

// Listen opens a socket on the network as net.ListenPacket does.
func (n *Network) Listen(network, address string) (net.PacketConn, error) {
	socket, err := net.ListenPacket(network, address)
	if err != nil {
		return nil, err
	}
	return n.Wrap(socket), nil
}

// isLost reports, and counts, whether a datagram is lost.
func (n *Network) isLost(from, to net.Addr) bool {
	sender, isFromUDP := from.(*net.UDPAddr)
	receiver, isToUDP := to.(*net.UDPAddr)
	if !isFromUDP || !isToUDP {
		return false
	}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	for _, loss := range n.losses {
		if loss.IsLost(unmapped(sender), unmapped(receiver)) {
			loss.mutex.Lock()
			loss.count++
			loss.mutex.Unlock()
			return true
		}
	}
	return false
}

func unmapped(address *net.UDPAddr) netip.AddrPort {
	given := address.AddrPort()
	return netip.AddrPortFrom(given.Addr().Unmap(), given.Port())
}

// lossySocket is a socket that drops lost datagrams when it reads them.
type lossySocket struct {
	net.PacketConn
	network *Network
}

// ReadFrom implements net.PacketConn.
func (s *lossySocket) ReadFrom(buffer []byte) (int, net.Addr, error) {
	for {
		count, from, err := s.PacketConn.ReadFrom(buffer)
		if err != nil || !s.network.isLost(from, s.LocalAddr()) {
			return count, from, err
		}
	}
}
