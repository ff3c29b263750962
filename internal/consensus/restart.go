package consensus

import (
	"slices"
	"time"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
)

// Votes wait for an election timeout after a start, since the leader that was followed before
// may still hold its lease. When every voter has started anew no process is left that could
// hold one, and the wait is needless: a quorum that was stopped as a whole elects at once.
//
// A voter that has heard no leader since its start probes all others with its term. Who answers
// has heard none either, has taken the prober's term, and is no candidate: from then on it can
// lead only in a later term. Once all have answered, no leader of an earlier term is left or
// can come up, and the prober campaigns for the next term. Its votes name the voters that
// answered; a voter that knows of another one, or has heard a leader meanwhile, waits as
// usual.
//
// Of two that probe at once the one goes on whose log is ahead, or else whose identity is
// smaller, and a candidate is left the time to be elected. All this ends an election timeout after the start: from then on
// votes need not wait any more. Losing a single answer only costs that time.

const (
	// restartProbeShare is the part of the election timeout between two probes, and up to as
	// much again, drawn at random.
	restartProbeShare = 0.125
	// restartYieldShare is the part of the election timeout for which a voter that has
	// answered, or is a candidate, leaves the election to run its course.
	restartYieldShare = 0.4
)

// restart is what a voter knows of an election after all voters have started anew.
type restart struct {
	// recent tells that this member has heard no leader since its process began.
	recent bool
	// endsAt is when this member probes no longer.
	endsAt     time.Duration
	probeDueAt time.Duration
	// candidateUntil is until when this member's candidacy is left to run its course.
	candidateUntil time.Duration
	// term is that of the probe under way, answered are the voters that answered it.
	term     uint64
	answered map[string]bool
	// voters are named in the votes of the present campaign; nil for an ordinary one.
	voters []string
}

// startRestart begins the time in which no leader was heard.
func (c *Core) startRestart() {
	c.restart.recent = true
	c.restart.probeDueAt = c.now
	c.restart.endsAt = c.now + c.config.ElectionTimeout
}

// endRestart ends it: a leader was heard, or this member leads.
func (c *Core) endRestart() { c.restart = restart{} }

// timeoutShare returns a part of the election timeout.
func (c *Core) timeoutShare(share float64) time.Duration {
	return time.Duration(share * float64(c.config.ElectionTimeout))
}

// tickRestart probes the other voters when that is due.
func (c *Core) tickRestart() {
	if !c.restart.recent || c.now < c.restart.probeDueAt || c.now >= c.restart.endsAt || !c.members.votes(c.id) {
		return
	}
	c.becomeFollower(c.term, "") // a candidate could still win the term that the answers rule out
	c.restart.probeDueAt = c.now + c.timeoutShare(restartProbeShare*(1+c.random.Float64()))
	c.restart.term = c.term
	c.restart.answered = map[string]bool{c.id: true}
	last := c.log.last()
	for _, member := range c.members.voters() {
		if member != c.id {
			c.send(member, &v1.ConsensusMessage{Type: v1.MessageType_MESSAGE_TYPE_RESTART_PROBE, LogIndex: last.index, LogTerm: last.term})
		}
	}
	c.campaignAfterRestart()
}

// answerRestartProbe tells whether this member has heard a leader since its start.
func (c *Core) answerRestartProbe(message *v1.ConsensusMessage) {
	answer := &v1.ConsensusMessage{Type: v1.MessageType_MESSAGE_TYPE_RESTART_ANSWER}
	if !c.yieldsTo(message) {
		answer.Reject = true
		c.send(message.GetFrom(), answer)
		return
	}
	c.becomeFollower(message.GetTerm(), "")
	c.restart.answered = nil
	c.restart.probeDueAt = c.now + c.timeoutShare(restartYieldShare)
	c.sendSynced(message.GetFrom(), answer)
}

// yieldsTo reports whether this member has heard no leader since its start and leaves the
// election to a prober.
func (c *Core) yieldsTo(message *v1.ConsensusMessage) bool {
	if !c.restart.recent || message.GetTerm() < c.term || !c.logAllowsVote(message) {
		return false
	}
	if c.role == RoleCandidate && c.now < c.restart.candidateUntil {
		return false
	}
	last := c.log.last()
	ahead := last != position{index: message.GetLogIndex(), term: message.GetLogTerm()}
	return c.restart.answered == nil || ahead || message.GetFrom() < c.id
}

// takeRestartAnswer counts an answer to the probe under way.
func (c *Core) takeRestartAnswer(message *v1.ConsensusMessage) {
	if message.GetReject() || !c.restart.recent || c.role != RoleFollower || c.restart.term != c.term || c.restart.answered == nil {
		return
	}
	c.restart.answered[message.GetFrom()] = true
	c.campaignAfterRestart()
}

// campaignAfterRestart campaigns once all voters have answered.
func (c *Core) campaignAfterRestart() {
	if !c.allRestarted(func(id string) bool { return c.restart.answered[id] }) {
		return
	}
	c.restart.answered = nil
	c.restart.voters = c.members.voters()
	c.restart.candidateUntil = c.now + c.timeoutShare(restartYieldShare)
	c.restart.probeDueAt = c.restart.candidateUntil
	c.transferElected = false
	c.campaign(false)
}

// allRestarted reports whether something holds for every voter.
func (c *Core) allRestarted(holds func(id string) bool) bool {
	if !c.config.Safeguards.IsEnabled(SafeguardAllRestarted) {
		return c.members.quorum(holds)
	}
	return !slices.ContainsFunc(c.members.voters(), func(id string) bool { return !holds(id) })
}

// noLeaseLeft reports whether a vote shows that every voter has started anew, as far as this
// one knows.
func (c *Core) noLeaseLeft(message *v1.ConsensusMessage) bool {
	named := message.GetRestartedVoters()
	return c.restart.recent && len(named) > 0 && c.allRestarted(func(id string) bool { return slices.Contains(named, id) })
}
