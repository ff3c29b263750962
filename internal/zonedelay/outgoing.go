package zonedelay

import (
	"context"
	"net"
	"net/netip"
)

// DialFunc opens outgoing connections, as net.Dialer's DialContext does.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Outgoing holds up what one process sends to and hears from addresses that are cut off from it. Its own address is
// in no group: whatever group is cut off by the gate is cut off from this process.
type Outgoing struct {
	// Partitioner is the process's.
	Partitioner *Partitioner
	// LocalAddress is an address of the gate's network that no process has.
	LocalAddress netip.Addr
}

// WrapDial returns what opens connections to a port that cuts hold up; others go as they are. While an address is cut off
// nobody answers there.
func (o Outgoing) WrapDial(dial DialFunc, port uint16) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		to, err := netip.ParseAddrPort(address)
		if err != nil || to.Port() != port {
			return dial(ctx, network, address)
		}
		if !o.Partitioner.pass(o.LocalAddress, to.Addr(), ctx.Done()) {
			return nil, ctx.Err()
		}
		opened, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return newConn(opened, 0, func(closed <-chan struct{}) bool { return o.Partitioner.pass(o.LocalAddress, to.Addr(), closed) }, new(PendingFlushes)), nil
	}
}

// WrapPacketConn returns a connection whose datagrams to and from addresses that are cut off are lost.
func (o Outgoing) WrapPacketConn(inner net.PacketConn) net.PacketConn {
	return &cutPackets{PacketConn: inner, outgoing: o}
}

// cutPackets loses datagrams.
type cutPackets struct {
	net.PacketConn
	outgoing Outgoing
}

// isCut reports whether an address is cut off now.
func (c *cutPackets) isCut(address net.Addr) bool {
	udp, is := address.(*net.UDPAddr)
	if !is {
		return false
	}
	open, _ := c.outgoing.Partitioner.open(c.outgoing.LocalAddress, udp.AddrPort().Addr().Unmap())
	return !open
}

// ReadFrom implements net.PacketConn.
func (c *cutPackets) ReadFrom(buffer []byte) (int, net.Addr, error) {
	for {
		count, from, err := c.PacketConn.ReadFrom(buffer)
		if err != nil || !c.isCut(from) {
			return count, from, err
		}
	}
}

// WriteTo implements net.PacketConn.
func (c *cutPackets) WriteTo(content []byte, to net.Addr) (int, error) {
	if c.isCut(to) {
		return len(content), nil
	}
	return c.PacketConn.WriteTo(content, to)
}
