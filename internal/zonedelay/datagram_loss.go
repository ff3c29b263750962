package zonedelay

import (
	"math/rand/v2"
	"net/netip"
	"slices"
)

// datagramLoss is a share of the datagrams to and from a group of addresses that is lost.
type datagramLoss struct {
	group []netip.Prefix
	share float64
}

// LoseDatagrams loses a share of the datagrams to and from a group until end is called; further calls of end do nothing. Connections
// are not affected.
func (p *Partitioner) LoseDatagrams(group []netip.Prefix, share float64) (end func()) {
	added := &datagramLoss{group: group, share: share}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.losses = append(p.losses, added)
	return func() {
		p.mutex.Lock()
		defer p.mutex.Unlock()
		p.losses = slices.DeleteFunc(p.losses, func(existing *datagramLoss) bool { return existing == added })
	}
}

// losesDatagram draws whether a datagram to or from an address is lost.
func (p *Partitioner) losesDatagram(address netip.Addr) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return slices.ContainsFunc(p.losses, func(loss *datagramLoss) bool {
		return slices.ContainsFunc(loss.group, func(prefix netip.Prefix) bool { return prefix.Contains(address) }) && rand.Float64() < loss.share
	})
}
