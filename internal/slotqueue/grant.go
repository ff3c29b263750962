package slotqueue

import "time"

const (
	// maximumLease is how long a grant is valid unless a report lists it. It bounds how long a lost holder blocks a
	// slot.
	maximumLease = 5 * time.Second
	// relaySilence is how long a relay may report nothing before it loses its grants: eight report intervals, so that a
	// few lost reports do not end grants.
	relaySilence = 2 * time.Second
)

// grant is a slot in use.
type grant struct {
	id      RequestID
	backEnd uint64
	// sequence is the order in which the grants were added.
	sequence uint64
	// since is when the slot was granted or first reported.
	since time.Duration
	// leaseUntil is when the grant ends unless a report lists it; confirmedAt is when its relay reported last, or since.
	leaseUntil, confirmedAt time.Duration
	// isReported is true once a report of its relay has listed the grant.
	isReported bool
	// charge is the charge of a grant of this Queue; nil for a grant of another owner.
	charge *charge
}

// charge is what the flow of a request was charged for its slot.
type charge struct {
	level    int
	flow     *flow
	expected time.Duration
}

func (g *grant) expiresAt() time.Duration { return min(g.leaseUntil, g.confirmedAt+relaySilence) }

// ageOrder orders grants by age, oldest first.
func ageOrder(a, b *grant) bool {
	if a.since != b.since {
		return a.since < b.since
	}
	return a.sequence < b.sequence
}

// expiryOrder orders grants by expiry, earliest first.
func expiryOrder(a, b *grant) bool {
	if a.expiresAt() != b.expiresAt() {
		return a.expiresAt() < b.expiresAt()
	}
	return a.sequence < b.sequence
}
