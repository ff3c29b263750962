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
// same slot. It returns false if none has. releaseReservedSlot must follow. Where this relay selects back ends by itself, the
// next attempt goes to that back end.
func (a *attemptTracker) reserveSlot(usable []*backEnd) bool {
	a.relay.slotReservations.Lock()
	defer a.relay.slotReservations.Unlock()
	now := a.relay.clock.now()
	free := map[*backEnd]bool{}
	for _, backEnd := range usable {
		if backEnd.Slots <= 0 || a.relay.runningAt(backEnd, now) < backEnd.Slots {
			free[backEnd] = true
			a.reservedSlot = backEnd
		}
	}
	if len(free) == 0 {
		return false
	}
	if a.request.service.Engine == nil {
		selection := a.relay.pickAmong(a.request, func(backEnd *backEnd) bool { return !free[backEnd] })
		if selection == nil {
			a.reservedSlot = nil
			return false
		}
		a.reservedSelection, a.reservedSlot = selection, selection.backEnd
	}
	a.reservedSlot.addWork(placement.Work{Streams: 1})
	return true
}

// takeReservedSelection returns the back end that was selected for the next attempt; nil if there is none or it must not be
// sent the request any more.
func (a *attemptTracker) takeReservedSelection() *backEndSelection {
	selection := a.reservedSelection
	a.reservedSelection = nil
	if selection == nil || a.isExcluded(selection.backEnd) || selection.backEnd.isUnavailable(a.relay.clock.now()) ||
		!a.relay.acquirePermitFor(selection, a.request.rank) {
		return nil
	}
	return selection
}

// releaseReservedSlot releases the slot that reserveSlot has reserved, if any: the attempt is sent, or there is none.
func (a *attemptTracker) releaseReservedSlot() {
	if a.reservedSlot != nil {
		a.reservedSlot.removeWork(placement.Work{Streams: 1})
		a.reservedSlot, a.reservedSelection = nil, nil
	}
}

// returnReservations returns what was reserved for an attempt that is not made.
func (a *attemptTracker) returnReservations() {
	a.returnReservedRetry()
	a.releaseReservedSlot()
}
