package slotqueue

import "time"

// entry is a queued request.
type entry struct {
	Request
	flow *flow
	// sequence is the order of arrival.
	sequence uint64
	queuedAt time.Duration
	class    class
	// isLate is true once the request can no longer meet its target.
	isLate bool
}

// targetOrder orders requests by target, then by arrival.
func targetOrder(a, b *entry) bool {
	if a.TargetAt != b.TargetAt {
		return a.TargetAt < b.TargetAt
	}
	return a.sequence < b.sequence
}

// deadlineOrder orders requests by deadline, then by arrival.
func deadlineOrder(a, b *entry) bool {
	if a.DeadlineAt != b.DeadlineAt {
		return a.DeadlineAt < b.DeadlineAt
	}
	return a.sequence < b.sequence
}

// urgencyOrder orders requests by level, clients that return at their time before newcomers, then by arrival.
func urgencyOrder(a, b *entry) bool {
	if a.Level != b.Level {
		return a.Level < b.Level
	}
	if a.class != b.class {
		return a.class < b.class
	}
	return a.sequence < b.sequence
}
