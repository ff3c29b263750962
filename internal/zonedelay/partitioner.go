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
	losses     []*datagramLoss
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
func (p *Partitioner) Isolate(group []netip.Prefix) (heal func()) {
	added := &partition{group: group}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.partitions = append(p.partitions, added)
	p.notifyChange()
	return func() {
		p.mutex.Lock()
		defer p.mutex.Unlock()
		p.partitions = slices.DeleteFunc(p.partitions, func(existing *partition) bool { return existing == added })
		p.notifyChange()
	}
}

// notifyChange wakes all waiting connections. The caller holds the mutex.
func (p *Partitioner) notifyChange() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// isOpen reports whether data may pass between two addresses, and returns a channel that is closed at the
// next change of the partitions.
func (p *Partitioner) isOpen(one, other netip.Addr) (bool, <-chan struct{}) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if !p.network.Contains(one) || !p.network.Contains(other) {
		return true, p.changed
	}
	for _, isolated := range p.partitions {
		if isolated.contains(one) != isolated.contains(other) {
			return false, p.changed
		}
	}
	return true, p.changed
}

func (c *partition) contains(address netip.Addr) bool {
	return slices.ContainsFunc(c.group, func(prefix netip.Prefix) bool { return prefix.Contains(address) })
}

// waitOpen blocks until data may pass; it returns false if closed is closed first. A nil Partitioner lets
// everything pass.
func (p *Partitioner) waitOpen(one, other netip.Addr, closed <-chan struct{}) bool {
	if p == nil {
		return true
	}
	for {
		open, changed := p.isOpen(one, other)
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
