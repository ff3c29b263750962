package slotqueue

import (
	"time"

	"github.com/hazelpitch/hazelpitch/internal/returnplan"
)

// returnFraction is the divisor of a request's time to its deadline that gives the latest promised return.
const returnFraction = 3

// refuseAtOnce refuses a new request that cannot be completed before its deadline. Its return is not promised: the
// client would come back with still less time.
func (q *Queue) refuseAtOnce(request Request) Decision {
	wait := q.expectedWait(q.waiting.countMoreUrgent(request.Level + 1))
	decision := Decision{
		ID: request.ID, Outcome: Refused, Reason: ReasonDeadline, RetryAfter: q.unpromisedReturn(wait),
		QueueLength: q.waiting.count(), ExpectedWait: wait,
	}
	q.finalDecisions.add(decision, request.DeadlineAt)
	return decision
}

// leaveToRelay decides on a request that excludes all open back ends. Its relay then selects a back end by itself, so that
// this refuses no client, not even one whose request may have run.
func (q *Queue) leaveToRelay(request Request) Decision {
	decision := Decision{ID: request.ID, Outcome: Refused, Reason: ReasonNotAwaited, QueueLength: q.waiting.count()}
	q.finalDecisions.add(decision, request.DeadlineAt)
	return decision
}

// refuseForWait refuses a request that the requests ahead delay past its deadline, or past its target if a return can be
// promised.
func (q *Queue) refuseForWait(added *entry, wait time.Duration) (Decision, bool) {
	soonest := q.now + q.safeCompletionTime()
	switch {
	case added.MayHaveRun:
		return Decision{}, false
	case soonest+wait > added.DeadlineAt:
		return q.refuse(added, ReasonWait, wait, q.promise(added, wait)), true
	case added.class == returning || soonest > added.TargetAt || soonest+wait <= added.TargetAt:
		// A client that returned at its promised time is not refused for its target again.
		return Decision{}, false
	}
	retry := q.promise(added, wait)
	if !retry.isPromised {
		return Decision{}, false
	}
	return q.refuse(added, ReasonTarget, wait, retry), true
}

// returnTime is when a refused client is to return.
type returnTime struct {
	after      time.Duration
	isPromised bool
}

// promise asks the plan for a return within a third of the time left. Without a plan, the client is to return when a
// slot is expected to be free.
func (q *Queue) promise(e *entry, wait time.Duration) returnTime {
	if q.config.Returns == nil {
		return returnTime{after: q.unpromisedReturn(wait)}
	}
	caller := returnplan.Caller{Signature: e.Signature, Tenant: e.Tenant, Level: e.Level, FirstRefusedAt: q.now}
	latest := q.now + (e.DeadlineAt-q.now)/returnFraction
	at, isPromised := q.config.Returns.Promise(q.now, caller, q.capacityForReturns(e.Level), latest, q.config.Draw())
	if !isPromised {
		return returnTime{after: q.unpromisedReturn(at - q.now)}
	}
	return returnTime{after: at - q.now, isPromised: true}
}

// unpromisedReturn returns after how long a client without a promise is to return if a slot is expected to be free
// after wait. Without the minimum, clients refused while a slot is free or no back end is open would all be told to
// return at once.
func (q *Queue) unpromisedReturn(wait time.Duration) time.Duration {
	if wait >= 2*returnplan.DefaultSpan {
		return wait
	}
	spread := time.Duration(q.config.Draw() * float64(returnplan.DefaultSpan))
	return max(wait, returnplan.DefaultSpan+spread)
}

// refuse refuses a queued request.
func (q *Queue) refuse(e *entry, reason Reason, wait time.Duration, retry returnTime) Decision {
	decision := Decision{
		ID: e.ID, Outcome: Refused, Reason: reason, RetryAfter: retry.after, Promised: retry.isPromised,
		Returned: e.class == returning, Waited: q.now - e.queuedAt, QueueLength: q.waiting.count(), ExpectedWait: wait,
	}
	q.dequeue(e)
	q.finalDecisions.add(decision, e.DeadlineAt)
	return decision
}

// shed refuses the newest of the least urgent requests of a full queue. It returns the decision if that is the added
// request; otherwise Advance returns it.
func (q *Queue) shed(added *entry) (Decision, bool) {
	least, found := q.waiting.byUrgency.Max()
	if !found {
		return Decision{}, false
	}
	wait := q.expectedWait(q.waiting.countBefore(least))
	decision := q.refuse(least, ReasonQueueFull, wait, q.promise(least, wait))
	if least != added {
		q.decided = append(q.decided, decision)
	}
	return decision, least == added
}

// refuseLate refuses the queued requests that can no longer be completed before their deadline, and drops those that may
// have run and whose deadline has passed.
func (q *Queue) refuseLate() {
	for {
		first, found := q.waiting.refusable.Min()
		if !found || !q.isOverdue(first) {
			break
		}
		wait := q.expectedWait(q.waiting.countMoreUrgent(first.Level + 1))
		q.decided = append(q.decided, q.refuse(first, ReasonDeadline, wait, returnTime{after: q.unpromisedReturn(wait)}))
	}
	for {
		first, found := q.waiting.mayHaveRun.Min()
		if !found || q.now < first.DeadlineAt {
			break
		}
		q.dequeue(first)
	}
}
