package gateway

import (
	"time"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/admission"
	"github.com/hazelpitch/hazelpitch/internal/limits"
)

// askingRequest is a request that waits for a share before it joins its queue.
type askingRequest struct {
	request admission.Request
	place   *ticket
}

// limitRequest is the request as the tenant's limit sees it.
func limitRequest(wanted admissionRequest) limits.Request {
	return limits.Request{
		ID:       wanted.request.ID,
		Tenant:   wanted.request.Tenant,
		Limit:    wanted.limit,
		Tokens:   wanted.request.PromptTokens + wanted.request.OutputTokens,
		Deadline: wanted.request.Deadline - wanted.request.MinimumTime,
	}
}

// askUrgently wakes the report loop.
func (a *admitter) askUrgently() {
	select {
	case a.wakeReport <- struct{}{}:
	default:
	}
}

// resolve lets the requests that have got their share join their queues, and refuses
// those that get none in time; the mutex is held.
func (a *admitter) resolve(now time.Duration) {
	for _, decision := range a.limits.Resolve(now) {
		asked := a.asking[decision.ID]
		delete(a.asking, decision.ID)
		if decision.Err != nil {
			a.waiting[decision.ID] <- refuseLimit(decision.Err)
			delete(a.waiting, decision.ID)
			continue
		}
		asked.place.charge = decision.Charge
		a.enqueue(now, asked.place.service, asked.request)
	}
}

// demands returns what to report to the leader, and the time of that, which apply needs.
func (a *admitter) demands() ([]*v1.ShareDemand, time.Duration) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	now := a.clock.now()
	return a.limits.Demands(now), now
}

// urgentDemands returns the demands of tenants whose requests wait for a share, and the
// time of that.
func (a *admitter) urgentDemands() ([]*v1.ShareDemand, time.Duration) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	now := a.clock.now()
	return a.limits.UrgentDemands(now), now
}

// apply takes the shares granted in answer to the demands of that time.
func (a *admitter) apply(demandedAt time.Duration, shares []*v1.Share) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	now := a.clock.now()
	a.limits.ApplyShares(now, demandedAt, shares)
	a.resolve(now)
}
