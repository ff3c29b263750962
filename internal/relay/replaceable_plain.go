package relay

import (
	"slices"

	"github.com/hazelpitch/hazelpitch/internal/bodybudget"
	"github.com/hazelpitch/hazelpitch/internal/placement"
	"github.com/hazelpitch/hazelpitch/internal/relay/slots"
	"github.com/hazelpitch/hazelpitch/internal/slotqueue"
)

// replaceablePlain is a request that is answered whole, whose back end may be replaced.
type replaceablePlain struct{ attempts *attemptTracker }

// prepareSearch implements replaceable.
func (p replaceablePlain) prepareSearch(usable []*backEnd, excluded []uint64) findBackEnd {
	if !p.attempts.relay.sharesSlots || p.attempts.request.service.Engine != nil {
		return p.attempts.searchFreeSlot(usable)
	}
	return p.attempts.searchSharedSlot(usable, excluded)
}

// newMessage implements replaceable.
func (p replaceablePlain) newMessage(selection *backEndSelection) *message {
	request := p.attempts.request
	return &message{request: request, backEnd: selection.backEnd, deadline: request.deadline, work: placement.Work{Streams: 1}, selection: selection,
		stall: stallLimit(request.route)}
}

// awaitAnswer implements replaceable.
func (p replaceablePlain) awaitAnswer(answer *answer, _ func() *stallWatch) (*awaitedAnswer, *failure) {
	return p.attempts.relay.awaitWhole(answer)
}

// awaitWhole reads an answer that is no stream: the whole of a short one, and the beginning of a long one.
func (r *Relay) awaitWhole(answer *answer) (*awaitedAnswer, *failure) {
	awaited := &awaitedAnswer{answer: answer}
	if answer.isLong() && isReplacementStatus(answer.status) {
		return awaited, nil
	}
	var err error
	if awaited.body, awaited.isWhole, err = answer.readBeginning(maxBufferedAnswer + 1); err == nil && isReplacementStatus(answer.status) {
		return awaited, nil
	}
	answer.finishUnused()
	switch {
	case err != nil:
		return nil, asFailure(err)
	case len(awaited.body) > bodybudget.FreeBytes: // its memory has been released
		return nil, errorAnswerFailure()
	default:
		return awaited, errorAnswerFailure()
	}
}

// searchFreeSlot returns the search for one of the usable back ends that has a free slot. The slot is counted at once, so that
// two requests do not count on the same one.
func (a *attemptTracker) searchFreeSlot(usable []*backEnd) findBackEnd {
	return func(<-chan struct{}) (*backEndSelection, plainSlot) {
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
		return selection, plainSlot{}
	}
}

// searchSharedSlot returns the search for a slot that the owner of the service's slots grants. If no owner answers, this relay
// searches by itself.
func (a *attemptTracker) searchSharedSlot(usable []*backEnd, excluded []uint64) findBackEnd {
	asked := slotRequest(a.request, excluded, true) // the silent back end may have run the request
	return func(stop <-chan struct{}) (*backEndSelection, plainSlot) {
		grant, outcome := a.relay.slots.Acquire(asked, stop)
		switch outcome.Kind {
		case slots.Refused, slots.Abandoned:
			return nil, plainSlot{}
		case slots.Granted:
			slot := plainSlot{slots: a.relay.slots, grant: grant}
			index := slices.IndexFunc(usable, func(backEnd *backEnd) bool { return backEnd.hash == grant.BackEnd })
			if index < 0 {
				slot.release(slotqueue.Result{})
				return nil, plainSlot{}
			}
			selection := selectionFor(usable[index])
			selection.backEnd.addWork(placement.Work{Streams: 1})
			return selection, slot
		}
		return a.searchFreeSlot(usable)(stop)
	}
}
