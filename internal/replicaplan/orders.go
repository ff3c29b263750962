package replicaplan

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/hazelpitch/hazelpitch/internal/duty"
)

// Order asks the platform for so many replicas of a group.
type Order struct {
	Group   Group
	Desired int
}

// Orders follows what a leader has ordered. An order is no fact until the list shows it.
type Orders struct {
	made map[Group]madeOrder
}

// madeOrder is the last order for a group.
type madeOrder struct {
	desired int
	at      time.Duration
	taken   bool
	// retryAt is when an order that was not taken may be made again.
	retryAt time.Duration
}

// NewOrders returns those of a leader that begins: it has ordered nothing.
func NewOrders() *Orders { return &Orders{made: map[Group]madeOrder{}} }

// DueOrders returns the orders that are to be made now, those for more replicas first.
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

func (o *Orders) isDue(now, boot time.Duration, group Group, desired, ready int) bool {
	made, ordered := o.made[group]
	switch {
	case !ordered:
		return ready != desired
	case now < made.retryAt:
		return false
	case made.desired != desired || !made.taken:
		return true
	default:
		return ready != desired && now-made.at >= boot+orderSlack
	}
}

// RecordStart notes that an order is made.
func (o *Orders) RecordStart(now time.Duration, order Order) {
	o.made[order.Group] = madeOrder{desired: order.Desired, at: now, taken: true}
}

// RecordOutcome notes what became of it.
func (o *Orders) RecordOutcome(now time.Duration, order Order, outcome duty.Outcome) {
	made := o.made[order.Group]
	made.taken = outcome == duty.Accepted || outcome == duty.Lost // lost ones show, or not, in the list
	if outcome == duty.Declined {
		made.retryAt = now + shortagePause
	}
	o.made[order.Group] = made
}

// SpotsPending reports whether spot replicas are wanted, and in each zone they are there or
// were ordered and not declined.
func (o *Orders) SpotsPending(agreed Desired, listed map[Group]ListedCounts) bool {
	wanted := 0
	for group, count := range agreed.Counts {
		if !group.Spot {
			continue
		}
		wanted += count
		if listed[group].staying() < count && !o.made[group].taken {
			return false
		}
	}
	return wanted > 0
}
