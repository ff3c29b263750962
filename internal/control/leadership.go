package control

import "github.com/hazelpitch/hazelpitch/internal/demand"

// checkLeadership starts and stops this controller's leading when it wins or loses leadership of the replicated log.
func (c *Core) checkLeadership() {
	leads := c.consensus.IsLeader()
	term := c.consensus.Term()
	if c.leading && (!leads || term != c.leadingTerm) {
		c.stopLeading()
	}
	if !leads {
		c.failPending()
		return
	}
	// The lease is valid once the first entry of the term is committed.
	if !c.leading && c.consensus.HasValidLease(c.now) {
		c.startLeading(term)
	}
}

func (c *Core) startLeading(term uint64) {
	c.leading = true
	c.leadingTerm = term
	c.leadingSince = c.now
	c.duties = duties{}
	c.commander.BeginTerm(c.now, term)
	// Shares are granted only after the first authority epoch has begun: before it, no earlier leader has granted any.
	epoch, _ := c.state.Authority()
	c.divider.StartLeading(c.now, epoch == 0)
	c.demands = demand.NewTable()
	c.planning = newPlanning()
	c.deferredOrders = nil
	c.listing = siteListing{}
	c.stages = newStages()
	c.relays = map[string]*relayRecord{}
	c.updates = siteUpdates{}
	c.usage = newSiteUsage(c.config)
	c.dutyCalls = newDutySchedule(c.config)
	c.replicas = newSiteReplicas()
	c.quarantine = newRequestQuarantine()
	c.limits = newBackEndLimits()
	c.formats.proposedIndex, c.formats.suspectsIndex, c.formats.needed = 0, 0, false
	c.beginVersions()
}

func (c *Core) stopLeading() {
	c.leading = false
	c.commander.EndTerm()
	c.refuseWaitingUsage()
	c.refuseHeldSuspectChanges()
}

// failPending answers the calls whose entries the next leader may or may not commit. Their
// callers send them again with the same identity.
func (c *Core) failPending() {
	if len(c.pending) == 0 {
		return
	}
	for _, index := range sortedKeys(c.pending) {
		c.failPendingCall(c.pending[index])
	}
	c.pending = map[uint64]pendingCall{}
}
