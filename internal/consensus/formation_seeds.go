package consensus

import (
	"maps"
	"slices"
	"time"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
)

// A fleet whose settings name only some of its controllers (seeds) forms its quorum from probes:
// every member on an empty disk probes the seeds, which counts as its report. Only the first seed
// may form the quorum, only when the fleet starts for the first time, and only after
// FormationSize members have reported and no new report has arrived for formationSettle. All
// other members, and all later ones, are admitted by the leader as learners and become voters
// once they have caught up.
//
// A first seed whose disk is emptied later forms no second quorum, because its settings no longer
// state that the fleet starts for the first time.

const (
	// formationSettle is the number of election timeouts that must pass without a new report.
	formationSettle = 1
	// rejoinSilence is the number of election timeouts without contact with a leader after which
	// a member requests admission again: it may have been removed while it was unreachable.
	rejoinSilence = 2
)

// formationReports are the members on empty disks that have probed this member.
type formationReports struct {
	byID   map[string]*v1.Member
	lastAt time.Duration
}

// isSeeded reports whether the settings name seeds instead of all peers.
func (c *Core) isSeeded() bool { return len(c.config.Seeds) > 0 }

// SetSeeds adds the seeds from updated settings, for a member that still has to find the quorum.
// Which seed may form the quorum does not change after the start.
func (c *Core) SetSeeds(seeds []string) {
	if c.isSeeded() && len(seeds) > 0 {
		c.updatedSeeds = seeds
	}
}

// mayFormQuorum reports whether this member is the one that may form the quorum from reports.
func (c *Core) mayFormQuorum() bool {
	return c.isSeeded() && c.config.Bootstrap && c.config.Seeds[0] == c.config.Address
}

// tickSeededFormation probes the seeds, and forms the quorum when the conditions are met.
func (c *Core) tickSeededFormation() {
	if c.now >= c.probeDueAt {
		c.probeSeeds()
	}
	if !c.mayFormQuorum() || len(c.reports.byID)+1 < c.config.FormationSize {
		return
	}
	if c.now-c.reports.lastAt < formationSettle*c.config.ElectionTimeout {
		return
	}
	c.formFromReports()
}

// probeSeeds probes the seeds and all known members. A member on an empty disk also probes those that have sent it
// anything: the members of a quorum go on sending to the disk that this process had before, when all seeds may be
// down or on empty disks themselves.
func (c *Core) probeSeeds() {
	c.probeDueAt = c.now + c.config.ElectionTimeout/4
	addresses := append(slices.Clone(c.config.Seeds), c.updatedSeeds...)
	addresses = append(addresses, c.Addresses()...)
	if c.members.empty() {
		addresses = slices.AppendSeq(addresses, maps.Values(c.addresses))
	}
	slices.Sort(addresses)
	for _, address := range slices.Compact(addresses) {
		if address != c.config.Address {
			c.probe(address)
		}
	}
}

// recordReport records a member on an empty disk for the quorum that is about to be formed.
func (c *Core) recordReport(message *v1.ConsensusMessage) {
	sender := message.GetSender()
	if !c.mayFormQuorum() || !c.members.empty() || message.GetFormed() || sender.GetId() == "" {
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
			delete(c.reports.byID, id) // that member's disk has been replaced since
		}
	}
	c.reports.byID[sender.GetId()] = sender
	c.reports.lastAt = c.now
}

// formFromReports writes the initial membership: this member and all members that reported.
func (c *Core) formFromReports() {
	membership := &v1.Membership{Members: []*v1.Member{c.localMember()}}
	for _, reported := range c.reports.byID {
		membership.Members = append(membership.Members, &v1.Member{
			Id: reported.GetId(), Address: reported.GetAddress(), Zone: reported.GetZone(), Name: reported.GetName()})
	}
	c.reports = formationReports{}
	c.writeInitialMembership(membership)
}

// tickRejoin makes a member of a seeded quorum that has lost contact with the leader request
// admission: if it was removed while it was unreachable, no other member notifies it.
func (c *Core) tickRejoin() {
	silence := c.now - c.leaderContactAt
	if c.isSeeded() && silence >= rejoinSilence*c.config.ElectionTimeout && c.now >= c.probeDueAt {
		c.probeSeeds()
	}
}
