package consensus

import (
	"google.golang.org/protobuf/proto"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
)

// The initial membership is stored in every log as a snapshot without data at this index and
// term.
const (
	firstIndex = 1
	firstTerm  = 1
)

// A member without a membership runs on an empty disk: it is part of a quorum that is about to
// be formed, it replaces another disk, or it joins. It probes its peers to find out which.
//
// Only the first peer by name may form the quorum, and only after every peer has answered from
// an empty disk. If the disk of the first peer is emptied later, that peer finds that the others
// have a quorum, and joins it as a new member.

// tickFormation starts a new round of probes and discards the answers to the previous round.
func (c *Core) tickFormation() {
	if c.now < c.probeDueAt {
		return
	}
	c.probeAnswers = make(map[string]*v1.Member)
	for _, peer := range c.config.Peers {
		if peer.Name == c.config.Name {
			c.probeAnswers[peer.Name] = c.localMember()
		}
	}
	c.probePeers()
	c.formWhenComplete()
}

// probePeers asks the other peers whether a quorum exists, and requests admission.
func (c *Core) probePeers() {
	c.probeDueAt = c.now + c.config.ElectionTimeout/2
	for _, peer := range c.config.Peers {
		if peer.Name != c.config.Name {
			c.probe(peer.Address)
		}
	}
}

// probe asks the controller at the address whether a quorum exists, and requests admission.
func (c *Core) probe(address string) {
	probe := c.envelope("", &v1.ConsensusMessage{
		Type: v1.MessageType_MESSAGE_TYPE_PROBE, Formed: !c.members.empty()})
	probe.Address = address
	c.outbox.messages = append(c.outbox.messages, probe)
}

// tickLearner makes a learner among named peers that has had no contact with a leader for a long time
// request admission again: the leader that admitted it may have lost its term before the change was
// committed. Members of a seeded quorum do so in tickRejoin.
func (c *Core) tickLearner() {
	if c.isSeeded() {
		return
	}
	silence := c.now - c.leaderContactAt
	if c.members.byID[c.id].GetLearner() && silence >= learnerSilence*c.config.ElectionTimeout && c.now >= c.probeDueAt {
		c.probePeers()
	}
}

// localMember returns the description of this member as a voter.
func (c *Core) localMember() *v1.Member {
	return &v1.Member{Id: c.id, Address: c.config.Address, Zone: c.config.Zone, Name: c.config.Name}
}

// handleFormationMessage answers a probe and admits its sender, or counts an answer to a probe.
func (c *Core) handleFormationMessage(message *v1.ConsensusMessage) {
	if message.GetType() == v1.MessageType_MESSAGE_TYPE_PROBE {
		answer := c.envelope(message.GetFrom(), &v1.ConsensusMessage{
			Type: v1.MessageType_MESSAGE_TYPE_PROBE_ANSWER, Formed: !c.members.empty()})
		c.outbox.messages = append(c.outbox.messages, answer)
		c.recordReport(message)
		c.admitLearner(message.GetSender())
		c.forwardProbe(message)
		return
	}
	if message.GetTo() != c.id || !c.members.empty() {
		return
	}
	if c.isSeeded() {
		return // a seeded quorum is formed from the probes received, not from answers
	}
	if message.GetFormed() {
		c.probeAnswers = nil // a quorum exists: wait for admission
		return
	}
	if c.probeAnswers != nil {
		c.probeAnswers[message.GetSender().GetName()] = message.GetSender()
	}
	c.formWhenComplete()
}

// formWhenComplete writes the initial membership when this member is the first peer by name and
// every peer has answered from an empty disk in this round.
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

// writeInitialMembership starts the log with a snapshot that contains the membership.
func (c *Core) writeInitialMembership(membership *v1.Membership) {
	sortMembers(membership)
	snapshot := &v1.Snapshot{Metadata: &v1.SnapshotMetadata{Index: firstIndex, Term: firstTerm, Membership: membership}}
	c.term = max(c.term, firstTerm)
	c.log.restore(snapshot)
	c.outbox.snapshot, c.outbox.restore = snapshot, snapshot
	c.setMembers(membership)
	c.electionDueAt = c.now
}

// forwardedRound marks a probe that a member has forwarded to the leader.
const forwardedRound = 1

// forwardProbe forwards a probe to the leader, whose address the sender may not know. A probe is
// forwarded only once.
func (c *Core) forwardProbe(message *v1.ConsensusMessage) {
	if c.role == RoleLeader || c.leader == "" || message.GetRound() == forwardedRound {
		return
	}
	forwarded := proto.CloneOf(message)
	forwarded.Round = forwardedRound
	c.outbox.messages = append(c.outbox.messages, Message{Address: c.address(c.leader), Message: forwarded})
}

// admitLearner makes the leader add an unknown member as a learner.
func (c *Core) admitLearner(sender *v1.Member) {
	if c.role != RoleLeader || sender.GetId() == "" || sender.GetName() == "" {
		return
	}
	if _, known := c.members.byID[sender.GetId()]; known {
		return
	}
	learner := &v1.Member{Id: sender.GetId(), Address: sender.GetAddress(), Zone: sender.GetZone(),
		Name: sender.GetName(), Learner: true}
	// An error needs no handling: the learner requests admission again.
	_, _, _ = c.ProposeMembership(c.now, c.members.with(learner))
}
