package replicaplan

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/hazelpitch/hazelpitch/internal/duty"
)

// Order asks the platform to run a number of replicas of a group.
type Order struct {
	Group   Group
	Desired int
}

// Orders tracks the orders that a leader issues to the platform. An order counts as carried out only once the list of
// replicas shows its effect.
type Orders struct {
	issued map[Group]issuedOrder
}

// issuedOrder is the last order for a group.
type issuedOrder struct {
	desired  int
	issuedAt time.Duration
	accepted bool
	// retryAt is when an order that was not accepted may be repeated.
	retryAt time.Duration
}

// NewOrders returns the orders of a new leader, which has issued none.
func NewOrders() *Orders { return &Orders{issued: map[Group]issuedOrder{}} }

// DueOrders returns the orders to issue now, those for more replicas first. boot is how long a new replica takes until
// it serves.
func (o *Orders) DueOrders(now, boot time.Duration, agreed Desired, listed map[Group]ListedCounts) []Order {
	var due []Order
	for _, group := range slices.SortedFunc(maps.Keys(agreed.Counts), Group.Compare) {
		desired := agreed.Counts[group]
		if o.isDue(now, boot, group, desired, listed[group].staying()) {
			due = append(due, Order{Group: group, Desired: desired})
		}
	}
	slices.SortStableFunc(due, func(a, b Order) int {
		return cmp.Compare(b.Desired-listed[b.Group].staying(), a.Desired-listed[a.Group].staying())
	})
	return due
}

func (o *Orders) isDue(now, boot time.Duration, group Group, desired, listedCount int) bool {
	last, exists := o.issued[group]
	switch {
	case !exists:
		return listedCount != desired
	case now < last.retryAt:
		return false
	case last.desired != desired || !last.accepted:
		return true
	default:
		return listedCount != desired && now-last.issuedAt >= boot+orderGrace
	}
}

// RecordStart records that an order is issued.
func (o *Orders) RecordStart(now time.Duration, order Order) {
	o.issued[order.Group] = issuedOrder{desired: order.Desired, issuedAt: now, accepted: true}
}

// RecordOutcome records the outcome of an order.
func (o *Orders) RecordOutcome(now time.Duration, order Order, outcome duty.Outcome) {
	last := o.issued[order.Group]
	last.accepted = outcome == duty.Accepted || outcome == duty.Lost // the list shows whether a lost one took effect
	if outcome == duty.Declined {
		last.retryAt = now + shortageRetryDelay
	}
	o.issued[order.Group] = last
}

// SpotsPending reports whether spot replicas are wanted and, in each zone, are listed or have been ordered and not
// declined.
func (o *Orders) SpotsPending(agreed Desired, listed map[Group]ListedCounts) bool {
	wanted := 0
	for group, count := range agreed.Counts {
		if !group.Spot {
			continue
		}
		wanted += count
		if listed[group].staying() < count && !o.issued[group].accepted {
			return false
		}
	}
	return wanted > 0
}
