package consensus

import (
	"slices"
	"time"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
)

// A fleet whose settings name only some of its controllers forms its quorum from their
// reports: every member on an empty disk probes the seeds. The first seed alone may form
// the quorum, only in the fleet's first start, once FormationSize members have reported
// and no further one has come for formationSettle. Everyone else, and everyone later, is
// admitted by the leader as a learner and becomes a voter when it has caught up.
//
// A first seed whose disk is emptied later does not form a second quorum: its settings no
// longer say that the fleet starts for the first time.

const (
	// formationSettle is how many election timeouts must pass without another report.
	formationSettle = 1
	// seededSilence is how many election timeouts a voter has been silent when a seeded
	// quorum may go on without it.
	seededSilence = 2.5
	// learnerSilence is how many election timeouts a learner has been silent when a
	// seeded quorum forgets it.
	learnerSilence = 5
	// outsiderSilence is how many election timeouts a member has heard no leader when it
	// asks to be admitted again: it may have been removed while it was away.
	outsiderSilence = 2
)

// formationReports are the members on empty disks that have probed this one.
type formationReports struct {
	byID   map[string]*v1.Member
	lastAt time.Duration
}

// seeded reports whether the settings name seeds in place of all peers.
func (c *Core) seeded() bool { return len(c.config.Seeds) > 0 }

// SetSeeds takes the seeds that the settings name now, for a member that has yet to find the
// quorum. Who may form it was settled at the start.
func (c *Core) SetSeeds(seeds []string) {
	if c.seeded() && len(seeds) > 0 {
		c.laterSeeds = seeds
	}
}

// formsQuorum reports whether this member may form the quorum from reports.
func (c *Core) formsQuorum() bool {
	return c.seeded() && c.config.Bootstrap && c.config.Seeds[0] == c.config.Address
}

// tickSeededFormation reports to the seeds, and forms the quorum when that is due.
func (c *Core) tickSeededFormation() {
	if c.now >= c.probeDueAt {
		c.probeSeeds()
	}
	if !c.formsQuorum() || len(c.reports.byID)+1 < c.config.FormationSize {
		return
	}
	if c.now-c.reports.lastAt < formationSettle*c.config.ElectionTimeout {
		return
	}
	c.formFromReports()
}

// probeSeeds probes the seeds and every member known.
func (c *Core) probeSeeds() {
	c.probeDueAt = c.now + c.config.ElectionTimeout/4
	addresses := append(slices.Clone(c.config.Seeds), c.laterSeeds...)
	addresses = append(addresses, c.Addresses()...)
	slices.Sort(addresses)
	for _, address := range slices.Compact(addresses) {
		if address != c.config.Address {
			c.probe(address)
		}
	}
}

// takeReport notes a member on an empty disk, for the quorum that is about to be formed.
func (c *Core) takeReport(message *v1.ConsensusMessage) {
	sender := message.GetSender()
	if !c.formsQuorum() || !c.members.empty() || message.GetFormed() || sender.GetId() == "" {
		return
	}
	if c.reports.byID == nil {
		c.reports.byID = make(map[string]*v1.Member)
	}
	if _, known := c.reports.byID[sender.GetId()]; known {
		return
	}
	for id, other := range c.reports.byID {
		if other.GetAddress() == sender.GetAddress() {
			delete(c.reports.byID, id) // its disk was replaced meanwhile
		}
	}
	c.reports.byID[sender.GetId()] = sender
	c.reports.lastAt = c.now
}

// formFromReports writes the initial membership: this member and all that reported.
func (c *Core) formFromReports() {
	membership := &v1.Membership{Members: []*v1.Member{c.self()}}
	for _, reported := range c.reports.byID {
		membership.Members = append(membership.Members, &v1.Member{
			Id: reported.GetId(), Address: reported.GetAddress(), Zone: reported.GetZone(), Name: reported.GetName()})
	}
	c.reports = formationReports{}
	c.writeInitialMembership(membership)
}

// tickOutsider lets a member of a seeded quorum that hears no leader ask to be admitted:
// it may have been removed while it was away, and nobody would tell it.
func (c *Core) tickOutsider() {
	silence := c.now - c.leaderHeardAt
	if c.seeded() && silence >= outsiderSilence*c.config.ElectionTimeout && c.now >= c.probeDueAt {
		c.probeSeeds()
	}
}

// nextSeededStep returns the membership after the step that the member calls for in a
// seeded quorum, or nil. A learner that has caught up becomes a voter; before that a voter
// that is surely gone leaves, so that the quorum does not grow by members that are dead.
func (c *Core) nextSeededStep(member *v1.Member) *v1.Membership {
	if !member.GetLearner() {
		if c.mayDoWithout(member) {
			return c.members.without(member.GetId())
		}
		return nil
	}
	if c.silentFor(member.GetId(), learnerSilence) {
		return c.members.without(member.GetId())
	}
	if !c.caughtUp(member.GetId()) {
		return nil
	}
	if gone := c.goneVoter(); gone != "" {
		return c.members.without(gone)
	}
	promoted := &v1.Member{Id: member.GetId(), Address: member.GetAddress(), Zone: member.GetZone(), Name: member.GetName()}
	return c.members.with(promoted)
}

// mayDoWithout reports whether a silent voter weakens the quorum: another disk answers at
// its address, or without it the quorum bears the same losses.
func (c *Core) mayDoWithout(voter *v1.Member) bool {
	if voter.GetId() == c.id {
		return false
	}
	if c.replacedAt(voter) {
		return true
	}
	return len(c.members.voters())%2 == 0 && c.silentFor(voter.GetId(), seededSilence)
}

// goneVoter returns the voter that has been silent for longest, if any is silent.
func (c *Core) goneVoter() string {
	gone, since := "", time.Duration(0)
	for _, id := range c.members.voters() {
		progress := c.progress[id]
		if !c.silentFor(id, seededSilence) {
			continue
		}
		if gone == "" || progress.heardAt < since {
			gone, since = id, progress.heardAt
		}
	}
	return gone
}

// replacedAt reports whether a member on another disk answers at the voter's address.
func (c *Core) replacedAt(voter *v1.Member) bool {
	for _, other := range c.members.byID {
		sameProcess := other.GetAddress() == voter.GetAddress() || other.GetName() == voter.GetName()
		if other.GetId() != voter.GetId() && sameProcess && other.GetLearner() && c.caughtUp(other.GetId()) {
			return true
		}
	}
	return false
}

// silentFor reports whether a member has not answered for so many election timeouts.
func (c *Core) silentFor(id string, timeouts float64) bool {
	progress := c.progress[id]
	limit := time.Duration(timeouts * float64(c.config.ElectionTimeout))
	return id != c.id && progress != nil && c.now-progress.heardAt >= limit
}
