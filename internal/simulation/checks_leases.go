package simulation

import (
	"time"

	"github.com/hazelpitch/hazelpitch/internal/consensus"
)

// isolationBound is how long a controller may take to notice that it is cut off from
// its peers: the slowest message that was under way, the election timeout on a slow
// clock, and a margin.
const isolationBound = slowDelay + consensus.DefaultElectionTimeout + 500*time.Millisecond

// stepGap is a time without a step after which a controller must have been paused: it
// then still has to take what had arrived before the cut.
const stepGap = 200 * time.Millisecond

// isolation is a controller that no peer reaches and that reaches none.
type isolation struct {
	since    time.Duration
	lastStep time.Duration
	// generation is that of the process.
	generation int
	// term is the controller's once the bound has passed; settled tells that it has.
	term    uint64
	settled bool
}

// leaseChecks watch who may act as the leader: never two at once, and no one who is
// cut off. A controller that is cut off also raises no term, so that its return
// disturbs no one.
type leaseChecks struct {
	checks   *checks
	isolated map[string]*isolation
}

func newLeaseChecks(c *checks) leaseChecks {
	return leaseChecks{checks: c, isolated: map[string]*isolation{}}
}

// stepped checks one controller after a step.
func (l *leaseChecks) stepped(c *controller) {
	l.oneLease(c)
	l.cutOff(c)
}

// oneLease checks that no other controller may lead while this one may.
func (l *leaseChecks) oneLease(c *controller) {
	if !c.core.HoldsLease(c.local()) {
		return
	}
	for _, other := range l.checks.world.controllers {
		if other != c && other.core != nil && other.core.HoldsLease(other.local()) {
			l.checks.fail("one leader at a time", "%s and %s hold a lease at once", c.name, other.name)
		}
	}
}

// cutOff checks a controller that has been cut off for longer than the bound.
func (l *leaseChecks) cutOff(c *controller) {
	if !l.checks.world.cutFromPeers(c) {
		delete(l.isolated, c.name)
		return
	}
	now, status := l.checks.world.now, c.status()
	known := l.isolated[c.name]
	if known == nil || now-known.lastStep > stepGap || known.generation != c.generation {
		known = &isolation{since: now, generation: c.generation}
		l.isolated[c.name] = known
	}
	known.lastStep = now
	if now-known.since < isolationBound {
		return
	}
	if !known.settled {
		known.settled, known.term = true, status.Term
	}
	if status.Role == consensus.RoleLeader {
		l.checks.fail("no leader without a quorum", "%s leads term %d after %v without any peer", c.name, status.Term, now-known.since)
	}
	if status.Term != known.term {
		l.checks.fail("no term without a quorum", "%s goes from term %d to %d without any peer", c.name, known.term, status.Term)
	}
}

// cutFromPeers reports whether a controller and its peers cannot reach each other.
func (w *world) cutFromPeers(c *controller) bool {
	for _, cut := range w.peerLinks(c) {
		if w.network.cuts[cut] == 0 {
			return false
		}
	}
	return true
}
