package gateway

import (
	"time"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/admission"
	"github.com/hazelpitch/hazelpitch/internal/limits"
)

// shareWaiter is a request that waits for a share of its tenant's limit before it joins the queue of its service.
type shareWaiter struct {
	request admission.Request
	slot    *admissionSlot
}

// limitRequest returns the request in the form that the tenant's limit expects.
func limitRequest(wanted admissionRequest) limits.Request {
	return limits.Request{
		ID:       wanted.request.ID,
		Tenant:   wanted.request.Tenant,
		Limit:    wanted.limit,
		Tokens:   wanted.request.PromptTokens + wanted.request.OutputTokens,
		Deadline: wanted.request.Deadline - wanted.request.MinimumTime,
	}
}

// requestUrgentReport makes the report loop request shares from the leader at once. It never blocks.
func (a *admitter) requestUrgentReport() {
	select {
	case a.wakeReport <- struct{}{}:
	default:
	}
}

// resolveShareWaits queues the requests whose share has been granted and refuses those that get none in time.
// The caller holds the mutex.
func (a *admitter) resolveShareWaits(now time.Duration) {
	for _, decision := range a.limits.Resolve(now) {
		waiter := a.awaitingShare[decision.ID]
		delete(a.awaitingShare, decision.ID)
		if decision.Err != nil {
			a.waiting[decision.ID] <- refuseLimit(decision.Err)
			delete(a.waiting, decision.ID)
			continue
		}
		waiter.slot.charge = decision.Charge
		a.enqueue(now, waiter.slot.service, waiter.request)
	}
}

// demands returns the share demands to report to the leader, and the current time, which the caller passes to
// applyShares with the leader's answer.
func (a *admitter) demands() ([]*v1.ShareDemand, time.Duration) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	now := a.clock.now()
	return a.limits.Demands(now), now
}

// urgentDemands returns the share demands of tenants whose requests wait for a share, and the current time as demands does.
func (a *admitter) urgentDemands() ([]*v1.ShareDemand, time.Duration) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	now := a.clock.now()
	return a.limits.UrgentDemands(now), now
}

// applyShares applies the shares that the leader granted for the demands that were collected at demandedAt.
func (a *admitter) applyShares(demandedAt time.Duration, shares []*v1.Share) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	now := a.clock.now()
	a.limits.ApplyShares(now, demandedAt, shares)
	a.resolveShareWaits(now)
}
