package slotqueue

import "time"

// reviewInterval is how often the queue is searched for requests that the requests ahead delay past their deadline. It
// equals returnplan.DefaultSpan, since returns are planned by span.
const reviewInterval = 50 * time.Millisecond

// refuseDelayed refuses the queued requests that the requests ahead delay past their deadline while their clients still
// have time to return.
func (q *Queue) refuseDelayed() {
	if q.now-q.reviewedAt < reviewInterval || q.waiting.count() == 0 || q.backEnds.openSlots == 0 {
		return
	}
	q.reviewedAt = q.now
	ahead, forecast := 0, q.newWaitForecast()
	for _, e := range q.waiting.inExpectedOrder(q.now + q.safeCompletionTime()) {
		if q.backEnds.areAllExcluded(e.Excluded) { // the back ends have changed since it was queued
			q.dequeue(e)
			q.decided = append(q.decided, q.leaveToRelay(e.Request))
			continue
		}
		wait := forecast.wait(ahead)
		if e.MayHaveRun || q.now+wait+q.safeCompletionTime() <= e.DeadlineAt {
			ahead++
			continue
		}
		q.decided = append(q.decided, q.refuse(e, ReasonWait, wait, q.promise(e, wait)))
	}
}

// inExpectedOrder returns the queued requests in the order in which they are expected to get slots: within a level and
// class, the first requests of all tenants, then their second ones.
func (r *requestQueue) inExpectedOrder(completedAt time.Duration) []*entry {
	ordered := make([]*entry, 0, r.count())
	for _, l := range r.levels {
		for c := range classCount {
			ordered = l.appendInTurn(ordered, c, completedAt)
		}
	}
	return ordered
}

func (l *level) appendInTurn(ordered []*entry, c class, completedAt time.Duration) []*entry {
	var byFlow [][]*entry
	var current *flow
	l.each(c, completedAt, func(e *entry) bool {
		if e.flow != current {
			current = e.flow
			byFlow = append(byFlow, nil)
		}
		last := len(byFlow) - 1
		byFlow[last] = append(byFlow[last], e)
		return true
	})
	for turn := 0; len(byFlow) > 0; turn++ {
		remaining := byFlow[:0]
		for _, entries := range byFlow {
			ordered = append(ordered, entries[turn])
			if turn+1 < len(entries) {
				remaining = append(remaining, entries)
			}
		}
		byFlow = remaining
	}
	return ordered
}
