package slotqueue

import (
	"time"

	"github.com/hazelpitch/hazelpitch/internal/returnplan"
)

// probeAfter is how long an idle service may give no result until a request is granted by the expected service time of a
// new service. Otherwise results of a slow spell could refuse all requests for good.
const probeAfter = time.Second

// expectedServiceTime returns how long a back end is expected to work on a request.
func (q *Queue) expectedServiceTime() time.Duration {
	if q.isProbing() {
		return min(q.serviceTime.mean, defaultServiceTime)
	}
	return q.serviceTime.mean
}

// safeTime returns the time within which a request that gets a slot now is completed in most cases, with the way to the
// relay and back.
func (q *Queue) safeTime() time.Duration {
	held := q.slotTime()
	if q.isProbing() {
		return min(held.mean+held.deviation, defaultServiceTime)
	}
	return held.mean + held.deviation
}

// isProbing reports whether the service has been idle and without results for so long that its last ones do not count.
func (q *Queue) isProbing() bool {
	return q.grants.count() == 0 && q.now-q.lastResultAt >= probeAfter
}

// recordResult records how long a back end worked on a request.
func (q *Queue) recordResult(result Result) {
	if result.ServiceTime <= 0 || result.TurnedAway {
		return
	}
	q.serviceTime.add(result.ServiceTime)
	q.lastResultAt = q.now
}

// completionsPerSecond returns how many slots come free in a second while all are in use.
func (q *Queue) completionsPerSecond() float64 {
	return float64(q.backEnds.openSlots) / max(q.slotTime().mean, 1).Seconds()
}

// roomForReturns describes the service to the plan of returns. Returns go before the queued newcomers of their level, so
// that only more urgent requests and other returns are ahead of them.
func (q *Queue) roomForReturns(ofLevel int) returnplan.Room {
	return returnplan.Room{PerSecond: q.completionsPerSecond(), Backlog: q.waiting.countAheadOfReturns(ofLevel)}
}

// slotTime returns how long a request is expected to hold its slot. A deputy that has granted none knows the service
// time only.
func (q *Queue) slotTime() runningMean {
	if q.heldTime.samples == 0 {
		return q.serviceTime
	}
	return q.heldTime
}

// expectedWait returns the expected time until a request gets a slot that so many queued requests get theirs before. It
// is 0 while no back end is open: then nothing is known.
func (q *Queue) expectedWait(ahead int) time.Duration {
	slots := q.backEnds.openSlots
	if slots == 0 {
		return 0
	}
	rounds := time.Duration(ahead / slots)
	return q.untilFree(ahead%slots, slots) + rounds*q.slotTime().mean
}

// untilFree returns the expected time until the nth slot is free, counted from 0.
func (q *Queue) untilFree(nth, slots int) time.Duration {
	free := slots - q.grants.count()
	if nth < free {
		return 0
	}
	oldest := q.grants.nthOldest(nth - free)
	// A slot that is in use for longer than usual is expected to be free after the usual deviation.
	return max(q.slotTime().mean-(q.now-oldest.since), q.slotTime().deviation)
}

// addQueueTimes adds the times at which something changes for the queued requests.
func (q *Queue) addQueueTimes(next *earliest) {
	if q.mayGrant {
		next.add(q.now)
	}
	if q.holdsBack {
		next.add(q.advancedAt + heldBackRecheck)
	}
	// Times since the last Advance may have passed already.
	if q.beganAt+learningTime > q.advancedAt {
		next.add(q.beganAt + learningTime)
	}
	if at, found := q.backEnds.firstUnblockedAfter(q.advancedAt); found {
		next.add(at)
	}
	if first, found := q.waiting.refusable.Min(); found {
		next.add(max(first.DeadlineAt-q.safeTime()+1, q.now))
	}
	if first, found := q.waiting.lasting.Min(); found {
		next.add(first.DeadlineAt)
	}
}
