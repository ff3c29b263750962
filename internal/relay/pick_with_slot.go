package relay

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	"github.com/hazelpitch/hazelpitch/internal/relay/slots"
	"github.com/hazelpitch/hazelpitch/internal/slotqueue"
)

// pickWithSlot selects the back end for one attempt; nil when there is none or the request must not be sent. Where relays
// share the slots of the service, the attempt gets a slot from their owner, and waits for it; when no owner answers, or the
// granted back end cannot be used here, this relay selects by itself.
func (r *Relay) pickWithSlot(request *request, attempts *attemptTracker) (*backEndSelection, plainSlot) {
	if !r.sharesSlots || request.service.Engine != nil {
		return r.pickForPlain(request, attempts), plainSlot{}
	}
	excluded, isAnyLeft := r.excludedFromSlots(request, attempts)
	if !isAnyLeft {
		return r.pickForPlain(request, attempts), plainSlot{}
	}
	grant, outcome := r.slots.Acquire(slotRequest(request, excluded, attempts.mayHaveRun), request.canceller.done())
	switch outcome.Kind {
	case slots.Refused:
		attempts.slotRefusal = slotRefusal(outcome)
		return nil, plainSlot{}
	case slots.Abandoned:
		return nil, plainSlot{}
	case slots.Granted:
		slot := plainSlot{slots: r.slots, grant: grant}
		selection, result := r.selectGranted(request, attempts, grant.BackEnd)
		if selection != nil {
			return selection, slot
		}
		slot.release(result)
	}
	if attempts.isOver() || attempts.isQuarantined {
		return nil, plainSlot{}
	}
	return r.pickForPlain(request, attempts), plainSlot{}
}

// slotRequest returns the request for the slot of one attempt.
func slotRequest(request *request, excluded []uint64, mayHaveRun bool) slots.Request {
	asked := slots.Request{
		Service: request.service.Name, Level: request.priorityLevel, TargetAt: request.arrivedAt + request.route.Target,
		DeadlineAt: request.deadline, Signature: binary.BigEndian.Uint64(request.content.Request[:8]), Excluded: excluded, MayHaveRun: mayHaveRun,
	}
	if request.tenant != nil {
		asked.Tenant = xxhash.Sum64String(request.tenant.Name)
	}
	return asked
}

// slotRefusal returns the answer to a client whose request the owner of the slots has refused.
func slotRefusal(outcome slots.Outcome) *refusal {
	response := refusal{status: fasthttp.StatusServiceUnavailable, reason: "the slots of the service are taken", retryAfter: outcome.RetryAfter}
	if response.retryAfter == 0 {
		response.retryAfter = retryAfterBusy
	}
	return &response
}

// excludedFromSlots returns the hashes of the back ends of which the owner must grant no slot for the next attempt: those
// that were tried, those that this relay must not send requests to and, if others are left, those that it avoids after a
// failure. isAnyLeft is false if no back end would be left.
func (r *Relay) excludedFromSlots(request *request, attempts *attemptTracker) (excluded []uint64, isAnyLeft bool) {
	now := r.clock.now()
	var avoided []uint64
	for _, backEnd := range r.view.Load().byService[request.service.Name] {
		switch {
		case attempts.isExcluded(backEnd) || backEnd.isUnavailable(now):
			excluded = append(excluded, backEnd.hash)
		case backEnd.avoidanceLeft(now) > 0:
			avoided = append(avoided, backEnd.hash)
		default:
			isAnyLeft = true
		}
	}
	if isAnyLeft {
		return append(excluded, avoided...), true
	}
	return excluded, len(avoided) > 0
}

// selectGranted returns the selection of a granted back end; nil if it is not listed here, was tried before, must not be
// sent requests now, or has a limit that leaves no room, and then the result with which its slot is released. The request
// may have waited for a long time, so that it is checked again whether it is quarantined.
func (r *Relay) selectGranted(request *request, attempts *attemptTracker, hash uint64) (*backEndSelection, slotqueue.Result) {
	backEnd := r.view.Load().byHash[hash]
	if backEnd == nil || backEnd.Service != request.service.Name || attempts.isExcluded(backEnd) {
		return nil, slotqueue.Result{}
	}
	if !request.isTrial && r.guard.IsQuarantined(request.content) {
		attempts.isQuarantined = true
		return nil, slotqueue.Result{}
	}
	selection := selectionFor(backEnd)
	if backEnd.isUnavailable(r.clock.now()) || !r.acquirePermitFor(selection, request.rank) {
		return nil, slotqueue.Result{TurnedAway: true}
	}
	return selection, slotqueue.Result{}
}
