package simulation

import (
	"time"

	"github.com/hazelpitch/hazelpitch/internal/consensus"
)

// isolationBound is how long a controller may take to detect that it is cut off from its peers. It is the sum of the
// delay of the slowest message under way, the election timeout, and a margin of 500 ms. The margin also covers that the
// controller's clock may be slow (see maximumDrift).
const isolationBound = slowDelay + consensus.DefaultElectionTimeout + 500*time.Millisecond

// maximumStepGap is the time without a step after which a controller must have been paused. After the pause it still
// processes what had arrived before the cut, so that the bound starts again.
const maximumStepGap = 200 * time.Millisecond

// isolation is the state of a controller that is cut off from all peers in both directions.
type isolation struct {
	since    time.Duration
	lastStep time.Duration
	// generation is the host's generation when the isolation began: a restart of the process begins another isolation.
	generation int
	// boundPassed is true once isolationBound has passed; term is the controller's term at that time.
	term        uint64
	boundPassed bool
}

// leaseChecks verify who acts as the leader: never two controllers at once, and none that is cut off. A controller
// that is cut off must not raise its term either, so that its return does not depose the leader.
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

// checkOneLease checks that no other controller holds a lease while this one does.
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

// checkCutOff checks a controller that has been cut off for longer than isolationBound.
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

// isCutFromPeers reports whether a controller and all its peers are cut off from each other in both directions.
func (w *world) isCutFromPeers(c *controller) bool {
	for _, cut := range w.peerLinks(c) {
		if w.network.cuts[cut] == 0 {
			return false
		}
	}
	return true
}
