package consensus

import (
	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
)

// campaign asks for votes; with preVote it only asks whether it could win.
func (c *Core) campaign(preVote bool) {
	c.resetElection()
	c.leader = ""
	c.votes = make(map[string]bool)
	last := c.log.last()
	if preVote {
		c.role = RolePreCandidate
		c.transferElected = false
		c.restart.voters = nil
		for _, member := range c.members.voters() {
			if member != c.id {
				c.send(member, &v1.ConsensusMessage{Type: v1.MessageType_MESSAGE_TYPE_PRE_VOTE,
					Term: c.term + 1, LogIndex: last.index, LogTerm: last.term})
			}
		}
		c.countPreVote(c.id)
		return
	}
	c.role = RoleCandidate
	c.term++
	c.votedFor = c.id
	for _, member := range c.members.voters() {
		if member == c.id {
			c.sendSynced(c.id, &v1.ConsensusMessage{Type: v1.MessageType_MESSAGE_TYPE_VOTE_ANSWER})
			continue
		}
		c.sendSynced(member, &v1.ConsensusMessage{Type: v1.MessageType_MESSAGE_TYPE_VOTE,
			LogIndex: last.index, LogTerm: last.term, Transfer: c.transferElected,
			RestartedVoters: c.restart.voters})
	}
}

// leaderMayHoldLease reports whether a vote must wait because a leader, as far as
// this member knows, may still hold its lease.
func (c *Core) leaderMayHoldLease() bool {
	if !c.config.Safeguards.IsEnabled(SafeguardLeaseWait) {
		return false
	}
	if c.role == RoleLeader {
		return true
	}
	return c.now < c.leaderHeardAt+c.config.ElectionTimeout
}

// logAllowsVote reports whether the candidate holds every entry that may be committed.
func (c *Core) logAllowsVote(message *v1.ConsensusMessage) bool {
	if !c.config.Safeguards.IsEnabled(SafeguardLogComparison) {
		return true
	}
	return c.log.upToDate(position{index: message.GetLogIndex(), term: message.GetLogTerm()})
}

// answerPreVote tells whether this member would vote; it changes nothing.
func (c *Core) answerPreVote(message *v1.ConsensusMessage) {
	if c.leaderMayHoldLease() {
		return
	}
	granted := message.GetTerm() > c.term && c.logAllowsVote(message)
	answer := &v1.ConsensusMessage{Type: v1.MessageType_MESSAGE_TYPE_PRE_VOTE_ANSWER, Reject: !granted}
	if granted {
		answer.Term = message.GetTerm()
	}
	c.send(message.GetFrom(), answer)
}

// takePreVote counts an answer to a pre-vote.
func (c *Core) takePreVote(message *v1.ConsensusMessage) {
	if message.GetReject() {
		if message.GetTerm() > c.term {
			c.becomeFollower(message.GetTerm(), "")
		}
		return
	}
	if c.role == RolePreCandidate && message.GetTerm() == c.term+1 {
		c.countPreVote(message.GetFrom())
	}
}

// countPreVote starts the real election once a quorum would vote for this member.
func (c *Core) countPreVote(from string) {
	c.votes[from] = true
	if c.members.quorum(func(id string) bool { return c.votes[id] }) {
		c.campaign(false)
	}
}

// answerVote votes at most once a term, for a candidate whose log is not behind.
func (c *Core) answerVote(message *v1.ConsensusMessage) {
	mayWait := !message.GetTransfer() && !c.noLeaseLeft(message)
	if mayWait && c.leaderMayHoldLease() && message.GetTerm() > c.term {
		return
	}
	if message.GetTerm() > c.term {
		c.becomeFollower(message.GetTerm(), "")
	}
	free := c.votedFor == "" || c.votedFor == message.GetFrom()
	granted := message.GetTerm() == c.term && c.role != RoleLeader && c.leader == "" && free && c.logAllowsVote(message)
	if granted {
		c.votedFor = message.GetFrom()
		c.resetElection()
	}
	c.sendSynced(message.GetFrom(), &v1.ConsensusMessage{Type: v1.MessageType_MESSAGE_TYPE_VOTE_ANSWER, Reject: !granted})
}

// takeVote counts a vote of this term.
func (c *Core) takeVote(message *v1.ConsensusMessage) {
	if c.role != RoleCandidate || message.GetReject() {
		return
	}
	c.votes[message.GetFrom()] = true
	if c.members.quorum(func(id string) bool { return c.votes[id] }) {
		c.becomeLeader()
	}
}

// becomeLeader starts the term with an entry of its own, whose commit commits all
// entries before it.
func (c *Core) becomeLeader() {
	c.role = RoleLeader
	c.leader = c.id
	c.endRestart()
	c.votes = nil
	c.leaderSince = c.now
	c.transfer = transfer{}
	c.uncommitted = 0
	c.progress = make(map[string]*progress)
	c.refreshProgress()
	c.pendingMember = c.lastMembershipAfter(c.log.commit)
	c.leaderStart = c.append(v1.EntryType_ENTRY_TYPE_LEADER, nil)
	c.broadcastHeartbeat()
}
