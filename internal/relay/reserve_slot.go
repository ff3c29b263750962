package relay

import (
	"slices"
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

// searchFreeSlot prepares the search for one of the usable back ends that has a free slot. The slot is counted at once, so
// that two requests do not count on the same one.
func (a *attemptTracker) searchFreeSlot(usable []*backEnd, _ []uint64) findBackEnd {
	return func() *backEndSelection {
		a.relay.slotReservations.Lock()
		defer a.relay.slotReservations.Unlock()
		now := a.relay.clock.now()
		isFree := func(backEnd *backEnd) bool {
			return slices.Contains(usable, backEnd) && (backEnd.Slots <= 0 || a.relay.runningAt(backEnd, now) < backEnd.Slots)
		}
		selection := a.relay.pickAmong(a.request, func(backEnd *backEnd) bool { return !isFree(backEnd) })
		if selection != nil {
			selection.backEnd.addWork(placement.Work{Streams: 1})
		}
		return selection
	}
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

// releaseReservedSlot releases the slot that is counted for the next attempt, if any: the attempt is sent, or there is none.
func (a *attemptTracker) releaseReservedSlot() {
	if a.reservedSlot != nil {
		a.reservedSlot.removeWork(placement.Work{Streams: 1})
		a.reservedSlot, a.reservedSelection = nil, nil
	}
}

// returnReservations returns what was reserved for an attempt that is not made.
func (a *attemptTracker) returnReservations() {
	if a.search != nil {
		go a.relay.abandonSearch(a.search)
	}
	if a.reservedSelection != nil {
		a.relay.placements.cancel(a.reservedSelection.assignment)
	}
	a.returnReservedRetry()
	a.releaseReservedSlot()
}
