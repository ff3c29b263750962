package slotqueue

import (
	"time"

	"github.com/hazelpitch/hazelpitch/internal/returnplan"
)

// probeAfter is how long an idle service may give no result before defaultServiceTime limits its expected service time.
// Otherwise the results of a slow period could make the Queue refuse all requests indefinitely.
const probeAfter = time.Second

// expectedServiceTime returns how long a back end is expected to work on a request.
func (q *Queue) expectedServiceTime() time.Duration {
	if q.isProbing() {
		return min(q.serviceTime.mean, defaultServiceTime)
	}
	return q.serviceTime.mean
}

// safeCompletionTime returns the time within which a request that gets a slot now is completed in most cases, with the
// messages to and from the relay.
func (q *Queue) safeCompletionTime() time.Duration {
	held := q.slotTime()
	if q.isProbing() {
		return min(held.mean+held.deviation, defaultServiceTime)
	}
	return held.mean + held.deviation
}

// isProbing reports whether the service has been idle and without results for so long that its last ones are out of
// date.
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

// capacityForReturns returns the capacity that the plan of returns computes with. Returns go before the queued
// newcomers of their level, so that only more urgent requests and other returns are ahead of them.
func (q *Queue) capacityForReturns(ofLevel int) returnplan.Room {
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

// expectedWait returns the expected time until a request gets a slot if ahead queued requests get theirs first. It
// is 0 while no back end is open: then nothing is known.
func (q *Queue) expectedWait(ahead int) time.Duration {
	slots := q.backEnds.openSlots
	if slots == 0 {
		return 0
	}
	nth := ahead % slots
	until := time.Duration(0)
	if free := slots - q.grants.count(); nth >= free {
		until = q.untilReleased(q.grants.nthOldest(nth - free))
	}
	return until + time.Duration(ahead/slots)*q.slotTime().mean
}

// untilReleased returns the expected time until a slot in use is free.
func (q *Queue) untilReleased(g *grant) time.Duration {
	// A slot that has been in use for longer than the mean is expected to be free after the mean deviation.
	return max(q.slotTime().mean-(q.now-g.since), q.slotTime().deviation)
}

// waitForecast holds the expected times until slots are free, so that the waits of all queued requests take one pass over
// the grants. It is valid while no slot is granted or released.
type waitForecast struct {
	slots    int
	slotTime time.Duration
	// untilFree are the times until the first slots are free, as many as there are queued requests at most.
	untilFree []time.Duration
}

func (q *Queue) newWaitForecast() *waitForecast {
	slots := q.backEnds.openSlots
	needed := min(slots, q.waiting.count())
	forecast := &waitForecast{slots: slots, slotTime: q.slotTime().mean, untilFree: make([]time.Duration, 0, needed)}
	free := slots - q.grants.count()
	for range min(free, needed) {
		forecast.untilFree = append(forecast.untilFree, 0)
	}
	closed := max(-free, 0) // slots in use beyond the open ones are not granted again when they are released
	q.grants.byAge.Ascend(func(g *grant) bool {
		if closed > 0 {
			closed--
			return true
		}
		if len(forecast.untilFree) >= needed {
			return false
		}
		forecast.untilFree = append(forecast.untilFree, q.untilReleased(g))
		return true
	})
	return forecast
}

// wait returns what Queue.expectedWait returns; ahead is less than the number of queued requests.
func (f *waitForecast) wait(ahead int) time.Duration {
	if f.slots == 0 {
		return 0
	}
	return f.untilFree[ahead%f.slots] + time.Duration(ahead/f.slots)*f.slotTime
}

// addQueueTimes adds the times at which something changes for the queued requests.
func (q *Queue) addQueueTimes(next *earliestTime) {
	if q.mayGrant {
		next.add(q.now)
	}
	if q.newcomersWait {
		next.add(q.advancedAt + newcomerRecheckInterval)
	}
	// Times after the last Advance are added even if they have passed.
	if q.beganAt+takeoverPeriod > q.advancedAt {
		next.add(q.beganAt + takeoverPeriod)
	}
	if at, found := q.backEnds.firstUnblockedAfter(q.advancedAt); found {
		next.add(at)
	}
	if first, found := q.waiting.refusable.Min(); found {
		next.add(max(first.DeadlineAt-q.safeCompletionTime()+1, q.now))
	}
	if first, found := q.waiting.mayHaveRun.Min(); found {
		next.add(first.DeadlineAt)
	}
}
