package slotqueue

import "time"

// takeoverPeriod is how long a new owner grants only half of the slots. It exceeds the 250 ms interval at which relays
// report the slots that they hold.
const takeoverPeriod = 300 * time.Millisecond

// Queue grants the slots of one service. The package comment describes its concurrency contract.
type Queue struct {
	config         Config
	backEnds       backEndTable
	waiting        *requestQueue
	grants         *grantTable
	relays         *relayTable
	finalDecisions *decisionTable
	// serviceTime is how long back ends work on a request; heldTime is how long a request holds its slot, which includes
	// the messages to and from the relay.
	serviceTime, heldTime runningMean
	lastResultAt          time.Duration

	// now is the latest time that a call has given; advancedAt is that of the last Advance.
	now, advancedAt time.Duration
	// reviewedAt is when refuseDelayed last searched the queue.
	reviewedAt time.Duration
	// beganAt is when the Queue's relay became the owner of the slots.
	beganAt  time.Duration
	hasBegun bool
	// decided are the decisions on queued requests that Advance has not returned yet.
	decided []Decision
	// mayGrant is true if a queued request may get a slot since the last Advance.
	mayGrant bool
	// newcomersWait is true if newcomers wait although slots are free, because these are reserved for returns.
	newcomersWait bool
	expiredLeases uint64
}

// New returns a Queue without back ends. It counts as new from its first call with a time on, see BeginOwnership.
func New(config Config) *Queue {
	config.setDefaults()
	return &Queue{
		config:         config,
		waiting:        newRequestQueue(),
		grants:         newGrantTable(),
		relays:         newRelayTable(),
		finalDecisions: newDecisionTable(),
		serviceTime:    newRunningMean(),
		heldTime:       newRunningMean(),
	}
}

// BeginOwnership must be called when the Queue's relay becomes the owner of the slots of a service whose slots other
// relays may hold unknown to it: when its list of relays has changed, or when it is a deputy and gets requests because
// the owner does not answer. For 300 ms the Queue then grants only half of the slots, while relays report theirs.
func (q *Queue) BeginOwnership(now time.Duration) {
	q.now = max(q.now, now)
	q.beganAt, q.hasBegun = q.now, true
}

// SetBackEnds replaces the back ends of the service. Grants of back ends that are not listed stay valid.
func (q *Queue) SetBackEnds(now time.Duration, backEnds []BackEnd) {
	q.setNow(now)
	q.backEnds.set(backEnds)
	q.mayGrant = true
}

// Submit decides on a request. A repetition of the same ID gets the same final decision, or Queued while it waits. A
// request with MayHaveRun whose deadline has passed is Queued and forgotten.
func (q *Queue) Submit(now time.Duration, request Request) Decision {
	q.setNow(now)
	request.Level = min(max(request.Level, 0), LevelCount-1)
	if decision, isKnown := q.knownDecision(request.ID); isKnown {
		return decision
	}
	if q.backEnds.areAllExcluded(request.Excluded) {
		return q.leaveToRelay(request)
	}
	if request.MayHaveRun && !q.canQueueMayHaveRun(request) {
		return Decision{ID: request.ID, Outcome: Queued, QueueLength: q.waiting.count()}
	}
	if !request.MayHaveRun && q.now+q.expectedServiceTime() > request.DeadlineAt {
		return q.refuseAtOnce(request)
	}
	return q.decideNew(q.enqueue(request))
}

// Cancel withdraws a request whose client has disconnected or whose relay no longer waits for it. A slot that was
// granted to it is released.
func (q *Queue) Cancel(now time.Duration, id RequestID) {
	q.setNow(now)
	if held, isHeld := q.grants.byID[id]; isHeld {
		q.endGrant(held)
	}
	if queued, isQueued := q.waiting.entries[id]; isQueued {
		q.dequeue(queued)
	}
	// A request that arrives after its cancellation must not be queued or get an earlier grant again.
	q.finalDecisions.replace(Decision{ID: id, Outcome: Refused, Reason: ReasonNotAwaited}, q.now)
}

// Release ends a grant. Unknown grants are ignored.
func (q *Queue) Release(now time.Duration, id RequestID, result Result) {
	q.setNow(now)
	held, isHeld := q.grants.byID[id]
	if !isHeld {
		return
	}
	q.recordResult(result)
	if result.ServiceTime > 0 && !result.TurnedAway && held.charge != nil {
		q.heldTime.add(q.now - held.since)
	}
	if state := q.backEnds.byHash[held.backEnd]; state != nil {
		state.record(q.now, result)
	}
	q.correctCharge(held)
	q.endGrant(held)
}

// Advance expires leases, grants free slots and refuses requests that can no longer be completed. It returns the
// decisions on queued requests since its last call.
func (q *Queue) Advance(now time.Duration) []Decision {
	q.setNow(now)
	q.expireLeases()
	q.finalDecisions.expire(q.now)
	q.relays.sweep(q.now)
	if q.config.Returns != nil {
		q.config.Returns.Expire(q.now)
	}
	q.refuseLate()
	q.grantFree()
	q.refuseDelayed()
	q.advancedAt = q.now
	decided := q.decided
	q.decided = nil
	return decided
}

// NextAt returns when Advance must be called next if nothing else happens before; needed is false if it need not be.
// A time that has passed means at once.
func (q *Queue) NextAt() (at time.Duration, needed bool) {
	var next earliestTime
	if first, found := q.grants.byExpiry.Min(); found {
		next.add(first.expiresAt())
	}
	if len(q.decided) > 0 {
		next.add(q.now)
	}
	if q.waiting.count() > 0 {
		q.addQueueTimes(&next)
	}
	return next.at, next.found
}

// QueuedCount returns the number of queued requests.
func (q *Queue) QueuedCount() int { return q.waiting.count() }

// HeldCount returns the number of slots in use that the Queue knows of.
func (q *Queue) HeldCount() int { return q.grants.count() }

// ExpiredLeases returns the number of grants that have ended by the expiry of their lease.
func (q *Queue) ExpiredLeases() uint64 { return q.expiredLeases }

// setNow sets the present time, which never decreases. Ownership begins with the first call.
func (q *Queue) setNow(now time.Duration) {
	q.now = max(q.now, now)
	if !q.hasBegun {
		q.BeginOwnership(q.now)
	}
}

func (q *Queue) isTakingOver() bool { return q.now-q.beganAt < takeoverPeriod }
