package zonedelay

import (
	"net/netip"
	"slices"
	"sync"
)

// Partitioner simulates network partitions: it isolates groups of addresses from all others. Data between
// an isolated group and the others neither arrives nor fails until the partition heals, as when a network
// drops every packet and the senders keep retransmitting. It is safe for concurrent use.
type Partitioner struct {
	// network contains the addresses that can be isolated; others reach everything.
	network netip.Prefix

	mutex      sync.Mutex
	partitions []*partition
	// changed is closed and replaced whenever a partition begins or heals.
	changed chan struct{}
}

// partition is one isolated group of addresses.
type partition struct{ group []netip.Prefix }

// NewPartitioner returns a Partitioner without partitions. Addresses outside the network are never isolated.
func NewPartitioner(network netip.Prefix) *Partitioner {
	return &Partitioner{network: network, changed: make(chan struct{})}
}

// Isolate isolates a group until heal is called; further calls of heal do nothing. Addresses in the group
// still reach each other.
func (g *Partitioner) Isolate(group []netip.Prefix) (heal func()) {
	added := &partition{group: group}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.partitions = append(g.partitions, added)
	g.notifyChange()
	return func() {
		g.mutex.Lock()
		defer g.mutex.Unlock()
		g.partitions = slices.DeleteFunc(g.partitions, func(existing *partition) bool { return existing == added })
		g.notifyChange()
	}
}

// notifyChange wakes all waiting connections. The caller holds the mutex.
func (g *Partitioner) notifyChange() {
	close(g.changed)
	g.changed = make(chan struct{})
}

// isOpen reports whether data may pass between two addresses, and returns a channel that is closed at the
// next change of the partitions.
func (g *Partitioner) isOpen(one, other netip.Addr) (bool, <-chan struct{}) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if !g.network.Contains(one) || !g.network.Contains(other) {
		return true, g.changed
	}
	for _, isolated := range g.partitions {
		if isolated.contains(one) != isolated.contains(other) {
			return false, g.changed
		}
	}
	return true, g.changed
}

func (c *partition) contains(address netip.Addr) bool {
	return slices.ContainsFunc(c.group, func(prefix netip.Prefix) bool { return prefix.Contains(address) })
}

// waitOpen blocks until data may pass; it returns false if closed is closed first. A nil Partitioner lets
// everything pass.
func (g *Partitioner) waitOpen(one, other netip.Addr, closed <-chan struct{}) bool {
	if g == nil {
		return true
	}
	for {
		open, changed := g.isOpen(one, other)
		if open {
			return true
		}
		select {
		case <-closed:
			return false
		case <-changed:
		}
	}
}
