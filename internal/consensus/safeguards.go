package consensus

import "github.com/hazelpitch/hazelpitch/internal/safeguard"

// Safeguards of this package that tests may switch off.
const (
	// SafeguardSyncBeforeAnswer holds votes and append answers back until what they promise is synced.
	SafeguardSyncBeforeAnswer safeguard.Safeguard = "sync-before-answer"
	// SafeguardVotePersistence writes term and vote to disk.
	SafeguardVotePersistence safeguard.Safeguard = "vote-persistence"
	// SafeguardLeaseWait refuses votes while the lease of a leader may be valid.
	SafeguardLeaseWait safeguard.Safeguard = "lease-wait"
	// SafeguardPreVote raises the term only once a quorum would vote for the new one.
	SafeguardPreVote safeguard.Safeguard = "pre-vote"
	// SafeguardQuorumCheck lets a leader step down that no quorum has answered.
	SafeguardQuorumCheck safeguard.Safeguard = "quorum-check"
	// SafeguardLogComparison refuses votes to candidates whose log is behind.
	SafeguardLogComparison safeguard.Safeguard = "log-comparison"
	// SafeguardCommitOwnTerm lets a leader count replicas only for entries of its own term.
	SafeguardCommitOwnTerm safeguard.Safeguard = "commit-own-term"
	// SafeguardLearnerCatchUp promotes a learner only once it has caught up and synced.
	SafeguardLearnerCatchUp safeguard.Safeguard = "learner-catch-up"
	// SafeguardConflictCheck checks the entry before appended ones and drops conflicting ones.
	SafeguardConflictCheck safeguard.Safeguard = "conflict-check"
	// SafeguardMembershipStep allows one uncommitted change of one voter at a time.
	SafeguardMembershipStep safeguard.Safeguard = "membership-step"
	// SafeguardAllRestarted elects without waiting for a lease only when every voter, and not
	// just a quorum, has heard no leader since its start.
	SafeguardAllRestarted safeguard.Safeguard = "all-restarted"
)
