package voterplan

import "time"

// Action is what a leader does with a member.
type Action string

// Actions of a leader.
const (
	Promote Action = "promote"
	Remove  Action = "remove"
	Keep    Action = "keep"
	// Wait: a learner stays without a vote for now.
	Wait Action = "wait"
)

// Reason states why a leader chose an action.
type Reason string

// Reasons of a leader.
const (
	// CaughtUp: the learner holds, synced, all committed entries.
	CaughtUp Reason = "caught_up"
	// NotCaughtUp: the learner does not hold all committed entries yet, or has not answered lately.
	NotCaughtUp Reason = "not_caught_up"
	// Standby: the learner has no vote while there are enough voters.
	Standby Reason = "standby"
	// VoterInDoubt: a voter may or may not be silent.
	VoterInDoubt Reason = "voter_in_doubt"
	// FormerDiskVotes: the former disk at the learner's address is still a voter.
	FormerDiskVotes Reason = "former_disk_votes"
	// DiskReplaced: a learner on another disk has caught up at the voter's address or under its name.
	DiskReplaced Reason = "disk_replaced"
	// SilentLearner: the learner has been silent for too long.
	SilentLearner Reason = "silent_learner"
	// SilentAboveMinimum: the voter is silent, and there are more voters than the minimum.
	SilentAboveMinimum Reason = "silent_above_minimum"
	// SilentNamed: the voter is silent, and voters of this fleet are removed only when another disk takes their place.
	SilentNamed Reason = "silent_named"
	// SilentAtMinimum: the voter is silent, but there are no more voters than the minimum.
	SilentAtMinimum Reason = "silent_at_minimum"
)

// Counts are the numbers of voters on which a leader bases its decisions.
type Counts struct {
	// Voters is the number of voters, AnsweringVoters the number of those that are not silent.
	Voters, AnsweringVoters int
	// MinimumVoters is the number of voters that silence alone never reduces further.
	MinimumVoters int
}

// ToleratedLosses returns the number of answering voters that may be lost before no quorum remains; negative if there is
// none now.
func (c Counts) ToleratedLosses() int { return c.AnsweringVoters - (c.Voters/2 + 1) }

// Decision is a leader's decision on one member.
type Decision struct {
	// MemberID is the identity of the member's disk.
	MemberID string
	Action   Action
	Reason   Reason
	// Silence is the time since the member's last answer.
	Silence time.Duration
	// Counts are those before the action.
	Counts Counts
}
