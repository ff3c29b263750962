package slotqueue

import "time"

// knownDecision returns the decision on a request that is queued, holds a slot or was decided before.
func (q *Queue) knownDecision(id RequestID) (Decision, bool) {
	if queued, isQueued := q.waiting.entries[id]; isQueued {
		return q.queuedDecision(queued, 0), true
	}
	if known, exists := q.finalDecisions.byID[id]; exists {
		return known.decision, true
	}
	if held, isHeld := q.grants.byID[id]; isHeld {
		return Decision{ID: id, Outcome: Granted, BackEnd: held.backEnd, Lease: held.leaseUntil - q.now}, true
	}
	if q.relays.hasFinalAnswer(id) {
		return Decision{ID: id, Outcome: Refused, Reason: ReasonNotAwaited}, true
	}
	return Decision{}, false
}

// canQueueMayHaveRun reports whether a request that may have run can be queued: its deadline has not passed, and the
// queue is not full of such requests, none of which can be refused instead of it.
func (q *Queue) canQueueMayHaveRun(request Request) bool {
	return q.now < request.DeadlineAt && q.waiting.mayHaveRun.Len() < maximumQueued
}

func (q *Queue) enqueue(request Request) *entry {
	added := q.waiting.add(q.now, request, q.classOf(request), q.now+q.safeCompletionTime())
	q.relays.state(request.ID.Relay).queued[request.ID.Number] = added
	return added
}

// classOf redeems the promise of a client that returns at its time. A further attempt of a relay at the same request
// redeems no promise, since it would be that of another client with the same request.
func (q *Queue) classOf(request Request) class {
	isFurtherAttempt := request.MayHaveRun || len(request.Excluded) > 0
	if q.config.Returns == nil || request.Signature == 0 || isFurtherAttempt {
		return newcomer
	}
	if _, due := q.config.Returns.Redeem(q.now, request.Signature); due {
		return returning
	}
	return newcomer
}

func (q *Queue) dequeue(e *entry) {
	q.waiting.remove(e)
	delete(q.relays.state(e.ID.Relay).queued, e.ID.Number)
	q.relays.dropIfUnused(e.ID.Relay)
}

// decideNew decides on a request that was just queued.
func (q *Queue) decideNew(added *entry) Decision {
	first, backEnd := q.firstGrantable()
	if first == added {
		return q.grant(first, backEnd)
	}
	q.mayGrant = q.mayGrant || first != nil
	wait := q.expectedWait(q.waiting.countBefore(added))
	if decision, isRefused := q.refuseForWait(added, wait); isRefused {
		return decision
	}
	if q.waiting.count() > maximumQueued {
		if decision, isRefused := q.shed(added); isRefused {
			return decision
		}
	}
	return q.queuedDecision(added, wait)
}

func (q *Queue) queuedDecision(e *entry, wait time.Duration) Decision {
	return Decision{
		ID: e.ID, Outcome: Queued, Returned: e.class == returning, Waited: q.now - e.queuedAt,
		QueueLength: q.waiting.count(), ExpectedWait: wait,
	}
}
