package zonedelay

import (
	"net/netip"
	"slices"
	"sync"
)

// Partitioner cuts groups of addresses off from all others, in silence: bytes between a
// group and the rest neither arrive nor fail until the cut ends, as when a network
// loses every packet and the senders go on resending. It is safe for concurrent use.
type Partitioner struct {
	// network holds the addresses that can be cut off; others reach everything.
	network netip.Prefix

	mutex sync.Mutex
	cuts  []*cut
	// changed is closed and replaced whenever a cut begins or ends.
	changed chan struct{}
}

// cut is one group that is cut off.
type cut struct{ group []netip.Prefix }

// NewPartitioner returns a gate without cuts. Addresses outside the network are never cut off.
func NewPartitioner(network netip.Prefix) *Partitioner {
	return &Partitioner{network: network, changed: make(chan struct{})}
}

// Isolate cuts a group off until the function it returns is called; calling that again
// does nothing. Addresses within the group still reach each other.
func (g *Partitioner) Isolate(group []netip.Prefix) (heal func()) {
	made := &cut{group: group}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.cuts = append(g.cuts, made)
	g.tell()
	return func() {
		g.mutex.Lock()
		defer g.mutex.Unlock()
		g.cuts = slices.DeleteFunc(g.cuts, func(present *cut) bool { return present == made })
		g.tell()
	}
}

// tell wakes everything that waits. The mutex is held.
func (g *Partitioner) tell() {
	close(g.changed)
	g.changed = make(chan struct{})
}

// open reports whether bytes may pass between two addresses, and returns a channel
// that is closed when that may have changed.
func (g *Partitioner) open(one, other netip.Addr) (bool, <-chan struct{}) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if !g.network.Contains(one) || !g.network.Contains(other) {
		return true, g.changed
	}
	for _, present := range g.cuts {
		if present.holds(one) != present.holds(other) {
			return false, g.changed
		}
	}
	return true, g.changed
}

func (c *cut) holds(address netip.Addr) bool {
	return slices.ContainsFunc(c.group, func(prefix netip.Prefix) bool { return prefix.Contains(address) })
}

// pass waits until bytes may pass; false when closed came first. A nil gate is open.
func (g *Partitioner) pass(one, other netip.Addr, closed <-chan struct{}) bool {
	if g == nil {
		return true
	}
	for {
		open, changed := g.open(one, other)
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
