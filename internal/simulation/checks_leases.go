package simulation

import (
	"time"

	"github.com/hazelpitch/hazelpitch/internal/consensus"
)

// isolationBound is how long a controller may take to notice that it is cut off from
// its peers: the slowest message that was under way, the election timeout on a slow
// clock, and a margin.
const isolationBound = slowDelay + consensus.DefaultElectionTimeout + 500*time.Millisecond

// maximumStepGap is a time without a step after which a controller must have been paused: it
// then still has to take what had arrived before the cut.
const maximumStepGap = 200 * time.Millisecond

// isolation is a controller that no peer reaches and that reaches none.
type isolation struct {
	since    time.Duration
	lastStep time.Duration
	// generation is that of the process.
	generation int
	// term is the controller's once the bound has passed; settled tells that it has.
	term        uint64
	boundPassed bool
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

// afterStep checks one controller after a step.
func (l *leaseChecks) afterStep(c *controller) {
	l.checkOneLease(c)
	l.checkCutOff(c)
}

// checkOneLease checks that no other controller may lead while this one may.
func (l *leaseChecks) checkOneLease(c *controller) {
	if !c.core.HoldsLease(c.local()) {
		return
	}
	for _, other := range l.checks.world.controllers {
		if other != c && other.core != nil && other.core.HoldsLease(other.local()) {
			l.checks.fail("one leader at a time", "%s and %s hold a lease at once", c.name, other.name)
		}
	}
}

// checkCutOff checks a controller that has been cut off for longer than the bound.
func (l *leaseChecks) checkCutOff(c *controller) {
	if !l.checks.world.isCutFromPeers(c) {
		delete(l.isolated, c.name)
		return
	}
	now, status := l.checks.world.now, c.status()
	current := l.isolated[c.name]
	if current == nil || now-current.lastStep > maximumStepGap || current.generation != c.generation {
		current = &isolation{since: now, generation: c.generation}
		l.isolated[c.name] = current
	}
	current.lastStep = now
	if now-current.since < isolationBound {
		return
	}
	if !current.boundPassed {
		current.boundPassed, current.term = true, status.Term
	}
	if status.Role == consensus.RoleLeader {
		l.checks.fail("no leader without a quorum", "%s leads term %d after %v without any peer", c.name, status.Term, now-current.since)
	}
	if status.Term != current.term {
		l.checks.fail("no term without a quorum", "%s goes from term %d to %d without any peer", c.name, current.term, status.Term)
	}
}

// isCutFromPeers reports whether a controller and its peers cannot reach each other.
func (w *world) isCutFromPeers(c *controller) bool {
	for _, cut := range w.peerLinks(c) {
		if w.network.cuts[cut] == 0 {
			return false
		}
	}
	return true
}
