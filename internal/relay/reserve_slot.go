package relay

import (
	"time"

	"github.com/hazelpitch/hazelpitch/internal/placement"
)

// runningAt returns the number of requests that this relay knows to run at a back end.
func (r *Relay) runningAt(backEnd *backEnd, now time.Duration) int {
	load := backEnd.currentLoad(now)
	if backEnd.isEngine() {
		return r.notices.table.totalWork(now, backEnd, load).Streams
	}
	return max(load.ownWork.Streams, load.reportedRequests)
}

// reserveSlot counts the next attempt at one of the back ends that has a free slot, so that two requests do not count on the
// same slot. It returns false if none has. releaseReservedSlot must follow.
func (a *attemptTracker) reserveSlot(backEnds []*backEnd) bool {
	a.relay.slotReservations.Lock()
	defer a.relay.slotReservations.Unlock()
	now := a.relay.clock.now()
	for _, backEnd := range backEnds {
		if backEnd.Slots <= 0 || a.relay.runningAt(backEnd, now) < backEnd.Slots {
			backEnd.addWork(placement.Work{Streams: 1})
			a.reservedSlot = backEnd
			return true
		}
	}
	return false
}

// releaseReservedSlot releases the slot that reserveSlot has reserved, if any: the attempt is sent, or there is none.
func (a *attemptTracker) releaseReservedSlot() {
	if a.reservedSlot != nil {
		a.reservedSlot.removeWork(placement.Work{Streams: 1})
		a.reservedSlot = nil
	}
}

// returnReservations returns what was reserved for an attempt that is not made.
func (a *attemptTracker) returnReservations() {
	a.returnReservedRetry()
	a.releaseReservedSlot()
}
