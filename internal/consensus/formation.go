package consensus

import (
	"time"

	"google.golang.org/protobuf/proto"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
)

// firstPosition is where the initial membership stands in every log: a snapshot
// without data.
const (
	firstIndex = 1
	firstTerm  = 1
)

// A member that knows no membership is on an empty disk: it is part of a quorum
// about to be formed, or it replaces a disk, or it joins. It asks its peers which.
//
// Exactly one peer, the first by name, may form the quorum, and only once every
// peer has answered from an empty disk: a first peer whose disk is emptied later
// finds the others formed, and joins as a new member.

// tickFormation starts a new round of questions; answers of the last one are void.
func (c *Core) tickFormation() {
	if c.now < c.probeDueAt {
		return
	}
	c.probeAnswers = make(map[string]*v1.Member)
	for _, peer := range c.config.Peers {
		if peer.Name == c.config.Name {
			c.probeAnswers[peer.Name] = c.self()
		}
	}
	c.probePeers()
	c.formWhenComplete()
}

// probePeers asks the other peers whether a quorum exists, and to be admitted.
func (c *Core) probePeers() {
	c.probeDueAt = c.now + c.config.ElectionTimeout/2
	for _, peer := range c.config.Peers {
		if peer.Name != c.config.Name {
			c.probe(peer.Address)
		}
	}
}

// probe asks the controller at the address whether a quorum exists, and to be admitted.
func (c *Core) probe(address string) {
	probe := c.envelope("", &v1.ConsensusMessage{
		Type: v1.MessageType_MESSAGE_TYPE_PROBE, Formed: !c.members.empty()})
	probe.Address = address
	c.out.messages = append(c.out.messages, probe)
}

// tickLearner lets a learner that no leader has spoken to for long ask to be admitted
// again: the leader that admitted it may have lost its term before that was committed.
func (c *Core) tickLearner() {
	silence := c.now - c.leaderHeardAt
	if c.members.byID[c.id].GetLearner() && silence >= replacementSilence*c.config.ElectionTimeout && c.now >= c.probeDueAt {
		c.probePeers()
	}
}

// self describes this member as a voter.
func (c *Core) self() *v1.Member {
	return &v1.Member{Id: c.id, Address: c.config.Address, Zone: c.config.Zone, Name: c.config.Name}
}

// stepFormation answers a probe, admits who sent it, or counts an answer.
func (c *Core) stepFormation(message *v1.ConsensusMessage) {
	if message.GetType() == v1.MessageType_MESSAGE_TYPE_PROBE {
		answer := c.envelope(message.GetFrom(), &v1.ConsensusMessage{
			Type: v1.MessageType_MESSAGE_TYPE_PROBE_ANSWER, Formed: !c.members.empty()})
		c.out.messages = append(c.out.messages, answer)
		c.takeReport(message)
		c.admit(message.GetSender())
		c.relayProbe(message)
		return
	}
	if message.GetTo() != c.id || !c.members.empty() {
		return
	}
	if c.seeded() {
		return // reports form a seeded quorum, not answers
	}
	if message.GetFormed() {
		c.probeAnswers = nil // a quorum exists: wait to be admitted
		return
	}
	if c.probeAnswers != nil {
		c.probeAnswers[message.GetSender().GetName()] = message.GetSender()
	}
	c.formWhenComplete()
}

// formWhenComplete writes the initial membership when this member is the first peer
// by name and every peer has answered from an empty disk in this round.
func (c *Core) formWhenComplete() {
	membership := &v1.Membership{}
	for _, peer := range c.config.Peers {
		if peer.Name < c.config.Name {
			return
		}
		member := c.probeAnswers[peer.Name]
		if member == nil {
			return
		}
		membership.Members = append(membership.Members,
			&v1.Member{Id: member.GetId(), Address: peer.Address, Zone: peer.Zone, Name: peer.Name})
	}
	if c.probeAnswers[c.config.Name] == nil {
		return
	}
	c.writeInitialMembership(membership)
}

// writeInitialMembership starts the log with the membership.
func (c *Core) writeInitialMembership(membership *v1.Membership) {
	sortMembers(membership)
	snapshot := &v1.Snapshot{Metadata: &v1.SnapshotMetadata{Index: firstIndex, Term: firstTerm, Membership: membership}}
	c.term = max(c.term, firstTerm)
	c.log.restore(snapshot)
	c.out.snapshot, c.out.restore = snapshot, snapshot
	c.setMembers(membership)
	c.electionDueAt = c.now
}

// relayedRound marks a probe that a member has passed on to the leader.
const relayedRound = 1

// relayProbe passes a probe on to the leader, which may be a controller that the
// sender has never heard of. A probe is relayed once only.
func (c *Core) relayProbe(message *v1.ConsensusMessage) {
	if c.role == RoleLeader || c.leader == "" || message.GetRound() == relayedRound {
		return
	}
	relayed := proto.CloneOf(message)
	relayed.Round = relayedRound
	c.out.messages = append(c.out.messages, Message{Address: c.address(c.leader), Message: relayed})
}

// admit lets a leader take up an unknown member as a learner.
func (c *Core) admit(sender *v1.Member) {
	if c.role != RoleLeader || sender.GetId() == "" || sender.GetName() == "" {
		return
	}
	if _, known := c.members.byID[sender.GetId()]; known {
		return
	}
	learner := &v1.Member{Id: sender.GetId(), Address: sender.GetAddress(), Zone: sender.GetZone(),
		Name: sender.GetName(), Learner: true}
	// A refusal is no fault: the learner asks again.
	_, _, _ = c.ProposeMembership(c.now, c.members.with(learner))
}

// replacementSilence is how many election timeouts a voter has been silent when a
// learner of the same name replaces it.
const replacementSilence = 5

// maintainMembership takes the next step of a replacement: a learner that has
// caught up becomes a voter when it replaces a silent voter of its name or when
// voters are missing; then the silent voter is removed.
func (c *Core) maintainMembership() {
	if c.pendingMember > c.log.commit || c.log.commit < c.leaderStart || c.transfer.target != "" {
		return
	}
	for _, id := range c.members.ids() {
		member := c.members.byID[id]
		next := c.nextStep
		if c.seeded() {
			next = c.nextSeededStep
		}
		if changed := next(member); changed != nil {
			_, _, _ = c.ProposeMembership(c.now, changed)
			return
		}
	}
}

// nextStep returns the membership after the step that the member calls for, or nil.
func (c *Core) nextStep(member *v1.Member) *v1.Membership {
	replacement := c.sameName(member)
	if member.GetLearner() {
		missing := len(c.members.voters()) < len(c.config.Peers)
		replaces := replacement != nil && !replacement.GetLearner() && c.silent(replacement.GetId())
		if (missing || replaces) && c.caughtUp(member.GetId()) {
			promoted := &v1.Member{Id: member.GetId(), Address: member.GetAddress(), Zone: member.GetZone(), Name: member.GetName()}
			return c.members.with(promoted)
		}
		if replacement != nil && replacement.GetLearner() && c.silent(member.GetId()) && !c.silent(replacement.GetId()) {
			return c.members.without(member.GetId())
		}
		return nil
	}
	if replacement != nil && !replacement.GetLearner() && c.silent(member.GetId()) && !c.silent(replacement.GetId()) {
		return c.members.without(member.GetId())
	}
	return nil
}

// sameName returns another member with the same name, a voter before a learner, or nil.
// Members that operators add have no name and replace no one.
func (c *Core) sameName(member *v1.Member) *v1.Member {
	if member.GetName() == "" {
		return nil
	}
	var found *v1.Member
	for _, id := range c.members.ids() {
		other := c.members.byID[id]
		if id == member.GetId() || other.GetName() != member.GetName() {
			continue
		}
		if found == nil || found.GetLearner() {
			found = other
		}
	}
	return found
}

// silent reports whether the member has not answered for a long time.
func (c *Core) silent(id string) bool {
	progress := c.progress[id]
	return id != c.id && progress != nil &&
		c.now-progress.heardAt >= replacementSilence*time.Duration(c.config.ElectionTimeout)
}
