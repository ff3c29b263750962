package consensus

import (
	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
)

// campaign requests votes. With preVote it only asks whether the voters would vote for this member.
func (c *Core) campaign(preVote bool) {
	c.resetElection()
	c.leader = ""
	c.votes = make(map[string]bool)
	last := c.log.last()
	if preVote {
		c.role = RolePreCandidate
		c.transferElected = false
		c.restart.voters = nil
		c.recordCampaign(c.term+1, true)
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
	c.recordCampaign(c.term, false)
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

// leaderMayHoldLease reports whether this member must withhold its vote because, as far as it
// knows, a leader may still hold a lease.
func (c *Core) leaderMayHoldLease() bool {
	if !c.config.Safeguards.IsEnabled(SafeguardLeaseWait) {
		return false
	}
	if c.role == RoleLeader {
		return true
	}
	return c.now < c.leaderContactAt+c.config.ElectionTimeout
}

// logAllowsVote reports whether the candidate's log contains every entry that may be committed.
func (c *Core) logAllowsVote(message *v1.ConsensusMessage) bool {
	if !c.config.Safeguards.IsEnabled(SafeguardLogComparison) {
		return true
	}
	return c.log.isUpToDate(position{index: message.GetLogIndex(), term: message.GetLogTerm()})
}

// handlePreVote answers whether this member would vote for the candidate. It changes no state.
func (c *Core) handlePreVote(message *v1.ConsensusMessage) {
	answer := &v1.ConsensusMessage{Type: v1.MessageType_MESSAGE_TYPE_PRE_VOTE_ANSWER}
	switch {
	case c.leaderMayHoldLease():
		c.refuse(answer)
		answer.Term = max(message.GetTerm(), 1) - 1 // the candidate's own term: it learns of no other one
	case message.GetTerm() > c.term && c.logAllowsVote(message):
		answer.Term = message.GetTerm()
	default:
		c.refuse(answer)
	}
	c.send(message.GetFrom(), answer)
}

// refuse makes an answer to a candidate a refusal. It tells the last entry of this member's log, so that the candidate can
// log the reason.
func (c *Core) refuse(answer *v1.ConsensusMessage) {
	last := c.log.last()
	answer.Reject, answer.LogIndex, answer.LogTerm = true, last.index, last.term
}

// handlePreVoteAnswer counts an answer to a pre-vote.
func (c *Core) handlePreVoteAnswer(message *v1.ConsensusMessage) {
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

// countPreVote starts the election once a quorum would vote for this member.
func (c *Core) countPreVote(from string) {
	c.votes[from] = true
	if c.members.hasQuorum(func(id string) bool { return c.votes[id] }) {
		c.campaign(false)
	}
}

// handleVote grants at most one vote per term, to a candidate whose log is up to date.
func (c *Core) handleVote(message *v1.ConsensusMessage) {
	leaseWaitApplies := !message.GetTransfer() && !c.provesNoLease(message)
	answer := &v1.ConsensusMessage{Type: v1.MessageType_MESSAGE_TYPE_VOTE_ANSWER}
	if leaseWaitApplies && c.leaderMayHoldLease() && message.GetTerm() > c.term {
		c.refuse(answer)
		answer.Term = message.GetTerm() // for the candidate's election; this member's own term does not change
		c.send(message.GetFrom(), answer)
		return
	}
	if message.GetTerm() > c.term {
		c.becomeFollower(message.GetTerm(), "")
	}
	canVote := c.votedFor == "" || c.votedFor == message.GetFrom()
	granted := message.GetTerm() == c.term && c.role != RoleLeader && c.leader == "" && canVote && c.logAllowsVote(message)
	if granted {
		c.votedFor = message.GetFrom()
		c.resetElection()
	} else {
		c.refuse(answer)
	}
	c.sendSynced(message.GetFrom(), answer)
}

// handleVoteAnswer counts a vote in the current term.
func (c *Core) handleVoteAnswer(message *v1.ConsensusMessage) {
	if c.role != RoleCandidate || message.GetReject() {
		return
	}
	c.votes[message.GetFrom()] = true
	if c.members.hasQuorum(func(id string) bool { return c.votes[id] }) {
		c.becomeLeader()
	}
}

// becomeLeader starts leadership with an entry of the new term. Committing that entry commits
// all entries before it.
func (c *Core) becomeLeader() {
	c.role = RoleLeader
	c.leader = c.id
	c.endRestart()
	c.votes = nil
	c.election = electionRecord{}
	c.leaderSince = c.now
	c.transfer = transfer{}
	c.uncommittedBytes = 0
	c.progress = make(map[string]*progress)
	c.refreshProgress()
	c.pendingMembershipIndex = c.lastMembershipAfter(c.log.commit)
	c.leaderStartIndex = c.append(v1.EntryType_ENTRY_TYPE_LEADER, nil)
	c.broadcastHeartbeat()
}
