package voterplan

import "time"

// Member is a member of the replicated log as its leader sees it.
type Member struct {
	// ID is the identity of the member's disk, Name and Address those of the process that runs on it.
	ID, Name, Address string
	Learner           bool
	// Local is true for the leader itself, which is never removed.
	Local bool
	// Answered reports whether the member has ever answered this leader. Silence is the time since its last answer, or
	// since the leader began to send to it.
	Answered bool
	Silence  time.Duration
	// CaughtUp reports whether the member has synced all committed entries and has answered lately.
	CaughtUp bool
}

// isReplacedBy reports whether the other member runs on another disk in the place of this one.
func (m Member) isReplacedBy(other Member) bool {
	return m.ID != other.ID && (m.isAtAddressOf(other) || m.Name != "" && m.Name == other.Name)
}

// isAtAddressOf reports whether both members have the same address, where only one process can listen.
func (m Member) isAtAddressOf(other Member) bool {
	return m.Address != "" && m.Address == other.Address
}
