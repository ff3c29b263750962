package zonedelay

import (
	"context"
	"net"
	"net/netip"
)

// DialFunc opens outgoing connections, like DialContext of net.Dialer.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Outgoing applies partitions to the outgoing connections and datagrams of one process. The process belongs to no
// isolated group: any isolated address is unreachable from it.
type Outgoing struct {
	// Partitioner holds the partitions that the process sees.
	Partitioner *Partitioner
	// LocalAddress is the address that the Partitioner uses for this process. It must be an address of the Partitioner's
	// network that no process has.
	LocalAddress netip.Addr
}

// WrapDial returns a DialFunc whose connections to the port are blocked by partitions. Other connections
// are returned unchanged. Dialing an isolated address blocks until it is reachable or the context ends.
func (o Outgoing) WrapDial(dial DialFunc, port uint16) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		to, err := netip.ParseAddrPort(address)
		if err != nil || to.Port() != port {
			return dial(ctx, network, address)
		}
		if !o.Partitioner.waitOpen(o.LocalAddress, to.Addr(), ctx.Done()) {
			return nil, ctx.Err()
		}
		opened, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return newConn(opened, 0, func(closed <-chan struct{}) bool { return o.Partitioner.waitOpen(o.LocalAddress, to.Addr(), closed) }, new(PendingFlushes)), nil
	}
}

// WrapPacketConn returns a connection that drops datagrams to and from isolated addresses, and a share of those to and from others while they are
// lost.
func (o Outgoing) WrapPacketConn(inner net.PacketConn) net.PacketConn {
	return &partitionedPacketConn{PacketConn: inner, outgoing: o}
}

// partitionedPacketConn drops datagrams.
type partitionedPacketConn struct {
	net.PacketConn
	outgoing Outgoing
}

// isLost reports whether a datagram to or from an address is lost now.
func (c *partitionedPacketConn) isLost(address net.Addr) bool {
	udp, isUDP := address.(*net.UDPAddr)
	if !isUDP {
		return false
	}
	to := udp.AddrPort().Addr().Unmap()
	open, _ := c.outgoing.Partitioner.isOpen(c.outgoing.LocalAddress, to)
	return !open || c.outgoing.Partitioner.losesDatagram(to)
}

// ReadFrom implements net.PacketConn.
func (c *partitionedPacketConn) ReadFrom(buffer []byte) (int, net.Addr, error) {
	for {
		count, from, err := c.PacketConn.ReadFrom(buffer)
		if err != nil || !c.isLost(from) {
			return count, from, err
		}
	}
}

// WriteTo implements net.PacketConn.
func (c *partitionedPacketConn) WriteTo(content []byte, to net.Addr) (int, error) {
	if c.isLost(to) {
		return len(content), nil
	}
	return c.PacketConn.WriteTo(content, to)
}
