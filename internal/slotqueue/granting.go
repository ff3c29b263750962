package slotqueue

import (
	"math"
	"time"
)

const (
	// lateReturn is by how much most clients miss their promised time: the time for the request to reach the owner.
	lateReturn = 50 * time.Millisecond
	// earlyReturn is how long before its promised time a client may return.
	earlyReturn = 20 * time.Millisecond
	// newcomerRecheckInterval is how often newcomers are considered again while free slots are reserved for returns.
	newcomerRecheckInterval = 10 * time.Millisecond
)

// grantFree grants the free slots to queued requests.
func (q *Queue) grantFree() {
	q.mayGrant = false
	for {
		first, backEnd := q.firstGrantable()
		if first == nil {
			return
		}
		q.decided = append(q.decided, q.grant(first, backEnd))
	}
}

// firstGrantable returns the first queued request that can get a free slot, and the back end; nil if there is none.
func (q *Queue) firstGrantable() (first *entry, backEnd *backEndState) {
	q.newcomersWait = false
	if q.waiting.count() == 0 || q.grants.isFull() || q.takeoverAllowance() <= 0 {
		return nil, nil
	}
	held := q.grants.byBackEnd
	usable := q.backEnds.usable(q.now, held)
	if len(usable) == 0 {
		return nil, nil
	}
	last, reservesSlots := newcomer, q.reservesSlotsForReturns(usable)
	if reservesSlots {
		last = returning
	}
	q.waiting.each(last, q.now+q.safeCompletionTime(), func(e *entry) bool {
		if e.queuedAt < q.now && q.isOverdue(e) {
			return true // the next Advance removes it
		}
		if backEnd = leastLoaded(q.now, usable, held, e.Excluded); backEnd != nil {
			first = e
		}
		return first == nil
	})
	q.newcomersWait = reservesSlots && first == nil
	return first, backEnd
}

// isOverdue reports whether a queued request can no longer be completed before its deadline. A request that may have
// run is overdue only once its deadline has passed.
func (q *Queue) isOverdue(e *entry) bool {
	if e.MayHaveRun {
		return q.now >= e.DeadlineAt
	}
	return q.now+q.safeCompletionTime() > e.DeadlineAt
}

// grantableSlots returns how many slots the Queue may have granted at a time: half of the open ones during
// takeoverPeriod.
func (q *Queue) grantableSlots() int {
	if q.isTakingOver() {
		return (q.backEnds.openSlots + 1) / 2
	}
	return q.backEnds.openSlots
}

// takeoverAllowance returns how many slots a new owner may grant now; other owners are limited by the free slots alone.
func (q *Queue) takeoverAllowance() int {
	if !q.isTakingOver() {
		return math.MaxInt
	}
	return q.grantableSlots() - q.grants.grantedSince(q.beganAt)
}

// reservesSlotsForReturns reports whether the free slots are reserved for clients that are expected now and for which
// no slots come free in time. No slot is reserved for promises that are overdue by more than lateReturn.
func (q *Queue) reservesSlotsForReturns(usable []*backEndState) bool {
	if q.config.Returns == nil {
		return false
	}
	due := q.config.Returns.DueUntil(q.now, q.now)
	if due == 0 {
		return false
	}
	due -= q.config.Returns.DueUntil(q.now, q.now-lateReturn-earlyReturn)
	free := 0
	for _, state := range usable {
		free += state.Slots - q.grants.byBackEnd[state.Hash]
	}
	free = min(free, q.takeoverAllowance())
	completions := float64(q.grantableSlots()) * float64(lateReturn) / float64(max(q.slotTime().mean, 1))
	return float64(due)-completions > float64(free-1)
}

// grant grants a slot to a queued request.
func (q *Queue) grant(e *entry, backEnd *backEndState) Decision {
	expected := q.slotTime().mean
	lease := min(e.DeadlineAt-q.now, maximumLease)
	decision := Decision{
		ID: e.ID, Outcome: Granted, BackEnd: backEnd.Hash, Lease: lease, Returned: e.class == returning,
		Waited: q.now - e.queuedAt, QueueLength: q.waiting.count(),
	}
	q.waiting.start(e, expected)
	delete(q.relays.state(e.ID.Relay).queued, e.ID.Number)
	q.hold(&grant{
		id: e.ID, backEnd: backEnd.Hash, since: q.now, leaseUntil: q.now + lease, confirmedAt: q.now,
		charge: &charge{level: e.Level, flow: e.flow, expected: expected},
	})
	q.finalDecisions.add(decision, e.DeadlineAt)
	return decision
}

// hold records a slot in use.
func (q *Queue) hold(g *grant) {
	q.grants.add(g)
	q.relays.state(g.id.Relay).held[g.id.Number] = g
}

// correctCharge charges the tenant of a grant for the time that it has held the slot.
func (q *Queue) correctCharge(g *grant) {
	if g.charge != nil {
		q.waiting.finish(g.charge.level, g.charge.flow, q.now-g.since-g.charge.expected)
		g.charge = nil
	}
}

// endGrant frees a slot. The tenant's charge stays as expected unless correctCharge was called before: the tenant of
// a lost holder is not charged for the time until the lease expired.
func (q *Queue) endGrant(g *grant) {
	if g.charge != nil {
		q.waiting.finish(g.charge.level, g.charge.flow, 0)
	}
	q.grants.remove(g)
	delete(q.relays.state(g.id.Relay).held, g.id.Number)
	q.relays.dropIfUnused(g.id.Relay)
	q.mayGrant = true
}

// expireLeases ends the grants whose lease has expired.
func (q *Queue) expireLeases() {
	for {
		first, found := q.grants.byExpiry.Min()
		if !found || first.expiresAt() > q.now {
			return
		}
		q.expiredLeases++
		q.endGrant(first)
	}
}
