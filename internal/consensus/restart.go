package consensus

import (
	"slices"
	"time"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
)

// After a start, a member withholds its vote for an election timeout, because the leader that it
// followed may still hold a lease. When every voter has restarted, no process is left that could
// hold one and the wait is unnecessary, so a quorum that was stopped as a whole elects at once.
//
// A voter without leader contact since its start probes all others with its term. A voter that
// accepts the probe has had no leader contact either, adopts the prober's term and is no candidate,
// so from then on it can lead only in a later term. Once all have accepted, no leader of an earlier
// term exists or can be elected, and the prober campaigns for the next term. Its vote requests name
// the voters that accepted. A voter that knows of a further voter, or has had leader contact in the
// meantime, waits as usual.
//
// When two voters probe at the same time, the one whose log is ahead continues, or the one with the smaller identity if
// the logs are equal; a candidate gets time to be elected. The procedure ends an election
// timeout after the start, when votes need not wait any more. Losing a single answer costs no more
// than that time.

const (
	// restartProbeShare is the minimum time between two probes, as a fraction of the election
	// timeout. A random time of up to the same length is added.
	restartProbeShare = 0.125
	// restartYieldShare is the time, as a fraction of the election timeout, for which a voter that
	// has accepted a probe, or is a candidate, starts no probe of its own.
	restartYieldShare = 0.4
)

// restart is a voter's state in the election after all voters have restarted.
type restart struct {
	// noLeaderSinceStart is true from the start of this member until it has contact with a leader.
	noLeaderSinceStart bool
	// probesEndAt is when this member stops probing.
	probesEndAt time.Duration
	probeDueAt  time.Duration
	// candidateUntil is the time until which this member, while it is a candidate, rejects the probes of other voters.
	candidateUntil time.Duration
	// term is the term of the current probe; answers are the voters that accepted it.
	term    uint64
	answers map[string]bool
	// voters are the voters that the vote requests of the current campaign name as restarted; nil for an ordinary campaign.
	voters []string
}

// beginRestart starts the phase in which this member has had no contact with a leader since its start.
func (c *Core) beginRestart() {
	c.restart.noLeaderSinceStart = true
	c.restart.probeDueAt = c.now
	c.restart.probesEndAt = c.now + c.config.ElectionTimeout
}

// endRestart ends that phase, because this member has contact with a leader or leads.
func (c *Core) endRestart() { c.restart = restart{} }

// timeoutShare returns a share of the election timeout; share is a fraction of 1.
func (c *Core) timeoutShare(share float64) time.Duration {
	return time.Duration(share * float64(c.config.ElectionTimeout))
}

// tickRestart probes the other voters when a probe is due.
func (c *Core) tickRestart() {
	if !c.restart.noLeaderSinceStart || c.now < c.restart.probeDueAt || c.now >= c.restart.probesEndAt || !c.members.isVoter(c.id) {
		return
	}
	c.becomeFollower(c.term, "") // a candidate could still win the term that the answers are to exclude
	c.restart.probeDueAt = c.now + c.timeoutShare(restartProbeShare*(1+c.random.Float64()))
	c.restart.term = c.term
	c.restart.answers = map[string]bool{c.id: true}
	last := c.log.last()
	for _, member := range c.members.voters() {
		if member != c.id {
			c.send(member, &v1.ConsensusMessage{Type: v1.MessageType_MESSAGE_TYPE_RESTART_PROBE, LogIndex: last.index, LogTerm: last.term})
		}
	}
	c.campaignAfterRestart()
}

// handleRestartProbe accepts the probe if this member yields the election to the prober.
func (c *Core) handleRestartProbe(message *v1.ConsensusMessage) {
	answer := &v1.ConsensusMessage{Type: v1.MessageType_MESSAGE_TYPE_RESTART_ANSWER}
	if !c.yieldsTo(message) {
		answer.Reject = true
		c.send(message.GetFrom(), answer)
		return
	}
	c.becomeFollower(message.GetTerm(), "")
	c.restart.answers = nil
	c.restart.probeDueAt = c.now + c.timeoutShare(restartYieldShare)
	c.sendSynced(message.GetFrom(), answer)
}

// yieldsTo reports whether this member has had no leader contact since its start and leaves the
// election to the prober.
func (c *Core) yieldsTo(message *v1.ConsensusMessage) bool {
	if !c.restart.noLeaderSinceStart || message.GetTerm() < c.term || !c.logAllowsVote(message) {
		return false
	}
	if c.role == RoleCandidate && c.now < c.restart.candidateUntil {
		return false
	}
	last := c.log.last()
	ahead := last != position{index: message.GetLogIndex(), term: message.GetLogTerm()}
	return c.restart.answers == nil || ahead || message.GetFrom() < c.id
}

// handleRestartAnswer counts an answer to the current probe.
func (c *Core) handleRestartAnswer(message *v1.ConsensusMessage) {
	if message.GetReject() || !c.restart.noLeaderSinceStart || c.role != RoleFollower || c.restart.term != c.term || c.restart.answers == nil {
		return
	}
	c.restart.answers[message.GetFrom()] = true
	c.campaignAfterRestart()
}

// campaignAfterRestart campaigns once all voters have accepted the probe.
func (c *Core) campaignAfterRestart() {
	if !c.allVoters(func(id string) bool { return c.restart.answers[id] }) {
		return
	}
	c.restart.answers = nil
	c.restart.voters = c.members.voters()
	c.restart.candidateUntil = c.now + c.timeoutShare(restartYieldShare)
	c.restart.probeDueAt = c.restart.candidateUntil
	c.transferElected = false
	c.campaign(false)
}

// allVoters reports whether the predicate holds for every voter.
func (c *Core) allVoters(holds func(id string) bool) bool {
	if !c.config.Safeguards.IsEnabled(SafeguardAllRestarted) {
		return c.members.hasQuorum(holds)
	}
	return !slices.ContainsFunc(c.members.voters(), func(id string) bool { return !holds(id) })
}

// provesNoLease reports whether a vote request shows that every voter known to this member has
// restarted, so that none of them holds a lease.
func (c *Core) provesNoLease(message *v1.ConsensusMessage) bool {
	restarted := message.GetRestartedVoters()
	return c.restart.noLeaderSinceStart && len(restarted) > 0 && c.allVoters(func(id string) bool { return slices.Contains(restarted, id) })
}
