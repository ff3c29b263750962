package consensus

import "github.com/hazelpitch/hazelpitch/internal/safeguard"

// Safeguards of this package that tests may disable.
const (
	// SafeguardSyncBeforeAnswer delays votes and append answers until the state they depend on is synced.
	SafeguardSyncBeforeAnswer safeguard.Safeguard = "sync-before-answer"
	// SafeguardVotePersistence writes term and vote to disk.
	SafeguardVotePersistence safeguard.Safeguard = "vote-persistence"
	// SafeguardLeaseWait withholds votes while a leader may hold a valid lease.
	SafeguardLeaseWait safeguard.Safeguard = "lease-wait"
	// SafeguardPreVote raises the term only after a quorum has agreed to vote for the candidate.
	SafeguardPreVote safeguard.Safeguard = "pre-vote"
	// SafeguardQuorumCheck makes a leader step down when no quorum answers it.
	SafeguardQuorumCheck safeguard.Safeguard = "quorum-check"
	// SafeguardLogComparison denies votes to candidates whose log is behind.
	SafeguardLogComparison safeguard.Safeguard = "log-comparison"
	// SafeguardCommitOwnTerm makes a leader count replicas only for entries of its own term.
	SafeguardCommitOwnTerm safeguard.Safeguard = "commit-own-term"
	// SafeguardLearnerCatchUp promotes a learner only once it has synced all committed entries.
	SafeguardLearnerCatchUp safeguard.Safeguard = "learner-catch-up"
	// SafeguardConflictCheck checks the entry before the appended ones and removes conflicting entries.
	SafeguardConflictCheck safeguard.Safeguard = "conflict-check"
	// SafeguardMembershipStep allows one uncommitted change of one voter at a time.
	SafeguardMembershipStep safeguard.Safeguard = "membership-step"
	// SafeguardAllRestarted skips the wait for a lease only when every voter, not just a quorum, has
	// had no leader contact since its start.
	SafeguardAllRestarted safeguard.Safeguard = "all-restarted"
)
