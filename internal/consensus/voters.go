package consensus

import (
	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/voterplan"
)

// The limits of silence, in election timeouts; see voterplan.Rules.
const (
	voterSilence   = 2.5
	learnerSilence = 5
	suspectSilence = 1
)

// voterRules returns the rules for the voters.
func (c *Core) voterRules() voterplan.Rules {
	if !c.isSeeded() {
		return c.namedVoterRules()
	}
	return voterplan.Rules{
		MinimumVoters:  c.config.FormationSize,
		VoterSilence:   c.timeoutShare(voterSilence),
		LearnerSilence: c.timeoutShare(learnerSilence),
		SuspectSilence: c.timeoutShare(suspectSilence),
	}
}

// namedVoterRules returns the rules for the voters among named peers.
func (c *Core) namedVoterRules() voterplan.Rules {
	rules := voterplan.Rules{
		MinimumVoters:  len(c.config.Peers),
		VoterSilence:   c.timeoutShare(voterSilence),
		LearnerSilence: c.timeoutShare(learnerSilence),
		SuspectSilence: c.timeoutShare(voterSilence), // a named voter that was removed does not ask for admission again
	}
	for _, peer := range c.config.Peers {
		rules.Names = append(rules.Names, peer.Name)
	}
	return rules
}

// plannedMembers returns the members as this leader sees them.
func (c *Core) plannedMembers() []voterplan.Member {
	members := make([]voterplan.Member, 0, len(c.members.byID))
	for _, id := range c.members.ids() {
		member := c.members.byID[id]
		planned := voterplan.Member{
			ID: id, Name: member.GetName(), Address: c.address(id), Learner: member.GetLearner(), Local: id == c.id, CaughtUp: c.hasCaughtUp(id),
		}
		if progress := c.progress[id]; progress != nil && !planned.Local {
			planned.Answered, planned.Silence = progress.answered, c.now-progress.lastAnswerAt
		}
		members = append(members, planned)
	}
	return members
}

// maintainMembership proposes the next step of the plan for the voters, unless a change is pending.
func (c *Core) maintainMembership() {
	if c.pendingMembershipIndex > c.log.commit || c.log.commit < c.leaderStartIndex || c.transfer.target != "" {
		return
	}
	plan := c.planVoters(c.voterRules(), c.plannedMembers())
	c.decisions.setUnchanged(plan.Unchanged)
	if plan.Step == nil {
		return
	}
	if _, _, err := c.ProposeMembership(c.now, c.membershipAfter(*plan.Step)); err == nil {
		c.decisions.add(*plan.Step)
	}
}

// membershipAfter returns the membership after a decision to promote or remove a member.
func (c *Core) membershipAfter(decision voterplan.Decision) *v1.Membership {
	if decision.Action == voterplan.Remove {
		return c.members.without(decision.MemberID)
	}
	return c.members.with(asVoter(c.members.byID[decision.MemberID]))
}

// asVoter returns the member with a vote.
func asVoter(member *v1.Member) *v1.Member {
	return &v1.Member{Id: member.GetId(), Address: member.GetAddress(), Zone: member.GetZone(), Name: member.GetName()}
}
