package voterplan

import (
	"cmp"
	"slices"
	"time"
)

// Rules are the limits of the decisions.
type Rules struct {
	// MinimumVoters is the number of voters that silence alone never reduces further: 2F+1 for F tolerated losses.
	MinimumVoters int
	// Names are the names of the controllers that are to be voters; empty for all controllers. With names, learners are
	// standbys: they become voters only below the minimum, and silence alone removes nobody.
	Names []string
	// VoterSilence is the silence after which a voter counts as silent, LearnerSilence the one after which a learner is
	// removed.
	VoterSilence, LearnerSilence time.Duration
	// SuspectSilence is the silence after which a voter is in doubt: it counts as lost if its address or name has moved to
	// another disk.
	SuspectSilence time.Duration
}

// Plan is what a leader does with the members now.
type Plan struct {
	// Step is the next change of the membership; nil for none.
	Step *Decision
	// Unchanged are the silent voters that stay voters and the learners that stay learners, and the reasons.
	Unchanged []Decision
}

// Next returns the plan for the members. Removals precede promotions, so that the quorum does not grow by dead voters.
func (r Rules) Next(members []Member) Plan {
	plan := Plan{}
	counts := r.Count(members)
	for _, voter := range longestSilentFirst(members, false) {
		if voter.Local {
			continue
		}
		reason, isRemoved := r.reviewVoter(voter, counts, members)
		decision := Decision{MemberID: voter.ID, Action: Remove, Reason: reason, Silence: voter.Silence, Counts: counts}
		switch {
		case isRemoved && plan.Step == nil:
			plan.Step = &decision
		case reason != "" && !isRemoved:
			decision.Action = Keep
			plan.Unchanged = append(plan.Unchanged, decision)
		}
	}
	if plan.Step == nil {
		r.planLearners(&plan, members, counts)
	}
	return plan
}

// Count counts the voters.
func (r Rules) Count(members []Member) Counts {
	counts := Counts{MinimumVoters: r.MinimumVoters}
	for _, member := range members {
		if member.Learner {
			continue
		}
		counts.Voters++
		if !r.isSilent(member) {
			counts.AnsweringVoters++
		}
	}
	return counts
}

// isSilent reports whether a voter has not answered for VoterSilence.
func (r Rules) isSilent(voter Member) bool { return !voter.Local && voter.Silence >= r.VoterSilence }

// reviewVoter returns whether a voter is removed and the reason for either; an empty reason for a voter that answers.
func (r Rules) reviewVoter(voter Member, counts Counts, members []Member) (reason Reason, isRemoved bool) {
	isAboveMinimum := counts.Voters > r.MinimumVoters
	mayFall := isAboveMinimum || counts.Voters == r.MinimumVoters && r.hasCandidate(members)
	switch {
	case mayFall && r.hasLostDisk(voter, members):
		return DiskReplaced, true
	case !r.isSilent(voter):
		return "", false
	case isAboveMinimum && len(r.Names) == 0:
		return SilentAboveMinimum, true
	case isAboveMinimum:
		return SilentNamed, false
	default:
		return SilentAtMinimum, false
	}
}

// hasCandidate reports whether a learner can be promoted as soon as a voter is removed.
func (r Rules) hasCandidate(members []Member) bool {
	return slices.ContainsFunc(members, func(member Member) bool { return member.Learner && member.CaughtUp && r.isNamed(member) })
}

// hasLostDisk reports whether a member on another disk has caught up in the place of the silent voter.
func (r Rules) hasLostDisk(voter Member, members []Member) bool {
	return voter.Silence >= r.SuspectSilence && slices.ContainsFunc(members, func(other Member) bool {
		return other.CaughtUp && voter.isReplacedBy(other)
	})
}

// planLearners adds the removal or the promotion of a learner to the plan, or the reasons why each one waits.
func (r Rules) planLearners(plan *Plan, members []Member, counts Counts) {
	var lessSuited *Decision
	for _, learner := range longestSilentFirst(members, true) {
		decision := Decision{MemberID: learner.ID, Action: Wait, Silence: learner.Silence, Counts: counts}
		if r.isObsolete(learner, members) {
			decision.Action, decision.Reason = Remove, SilentLearner
			plan.Step = &decision
			return
		}
		decision.Reason = r.reviewLearner(learner, members, counts)
		if decision.Reason != CaughtUp {
			plan.Unchanged = append(plan.Unchanged, decision)
			continue
		}
		decision.Action = Promote
		if r.isNamed(learner) && !r.awaitsRemoval(learner, members) {
			plan.Step = &decision
			return
		}
		lessSuited = &decision
	}
	plan.Step = lessSuited
}

// reviewLearner returns CaughtUp if a learner may be promoted now, otherwise the reason why it waits.
func (r Rules) reviewLearner(learner Member, members []Member, counts Counts) Reason {
	isBelowMinimum := counts.Voters < r.MinimumVoters
	switch {
	case !learner.CaughtUp:
		return NotCaughtUp
	case isBelowMinimum:
		return CaughtUp
	case len(r.Names) > 0:
		return Standby
	case r.awaitsRemoval(learner, members):
		return FormerDiskVotes
	case r.hasVoterInDoubt(members):
		return VoterInDoubt
	default:
		return CaughtUp
	}
}

// isObsolete reports whether a learner is removed because of its silence. A standby goes only once another disk has taken
// its place.
func (r Rules) isObsolete(learner Member, members []Member) bool {
	return learner.Silence >= r.LearnerSilence && (len(r.Names) == 0 || slices.ContainsFunc(members, func(other Member) bool {
		return other.CaughtUp && learner.isReplacedBy(other)
	}))
}

// isNamed reports whether a learner is one of the controllers that are to be voters.
func (r Rules) isNamed(learner Member) bool {
	return len(r.Names) == 0 || slices.Contains(r.Names, learner.Name)
}

// hasVoterInDoubt reports whether a voter may or may not be silent. A promotion above the minimum waits until that is
// known, so that the removal of a silent voter follows it at once.
func (r Rules) hasVoterInDoubt(members []Member) bool {
	return slices.ContainsFunc(members, func(voter Member) bool {
		return !voter.Learner && !voter.Local && !r.isSilent(voter) && (!voter.Answered || voter.Silence >= r.SuspectSilence)
	})
}

// awaitsRemoval reports whether a voter with a lost disk at the learner's address is about to be removed. Promoting the
// learner before that would let the quorum depend on its new disk.
func (r Rules) awaitsRemoval(learner Member, members []Member) bool {
	return slices.ContainsFunc(members, func(voter Member) bool {
		return !voter.Learner && !voter.Local && voter.ID != learner.ID && voter.isAtAddressOf(learner)
	})
}

// longestSilentFirst returns the learners or the voters among the members, those with the longest silence first.
func longestSilentFirst(members []Member, learners bool) []Member {
	selected := slices.DeleteFunc(slices.Clone(members), func(member Member) bool { return member.Learner != learners })
	slices.SortStableFunc(selected, func(a, b Member) int { return cmp.Compare(b.Silence, a.Silence) })
	return selected
}
