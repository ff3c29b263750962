package gateway

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/hazelpitch/hazelpitch/internal/admission"
	"github.com/hazelpitch/hazelpitch/internal/limits"
	"github.com/hazelpitch/hazelpitch/internal/pause"
	"github.com/hazelpitch/hazelpitch/internal/settings"
	"github.com/hazelpitch/hazelpitch/internal/upstream"
)

const (
	// admissionInterval is the time between two checks for queued requests that have waited too long.
	admissionInterval = 50 * time.Millisecond
	// estimatorPairs bounds the pairs of tenant and kind whose token usage is recorded.
	estimatorPairs = 4096
	// tenantWaiterDivisor limits one tenant to a quarter of the requests that may wait for shares.
	tenantWaiterDivisor = 4
)

// admitter decides which requests start: it enforces the limits of tenants and queues the
// requests of each service. It is safe for concurrent use.
type admitter struct {
	clock  clock
	config admission.Config

	mutex     sync.Mutex
	nextID    uint64
	limits    *limits.Core
	estimator *admission.Estimator
	services  map[string]*admission.Core
	// waiting holds the channel that receives the decision on each waiting request, by ID.
	waiting map[uint64]chan<- *refusal
	// awaitingShare holds the requests that wait for a share of their tenant's limit, by ID.
	awaitingShare map[uint64]*shareWaiter
	// wakeReport makes the report loop send an urgent report.
	wakeReport chan struct{}
}

func newAdmitter(clock clock, bounds settings.GatewayLimits) (*admitter, error) {
	limiter, err := limits.New(limits.Config{Waiters: bounds.QueueLength, TenantWaiters: max(bounds.QueueLength/tenantWaiterDivisor, 1)})
	if err != nil {
		return nil, trace.Wrap(err)
	}
	estimator, err := admission.NewEstimator(estimatorPairs)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return &admitter{
		clock:         clock,
		config:        admission.Config{QueueLength: bounds.QueueLength, MaximumInFlight: bounds.InFlight},
		limits:        limiter,
		estimator:     estimator,
		services:      map[string]*admission.Core{},
		waiting:       map[uint64]chan<- *refusal{},
		awaitingShare: map[uint64]*shareWaiter{},

		wakeReport: make(chan struct{}, 1),
	}, nil
}

// admissionRequest is the input of an admission decision.
type admissionRequest struct {
	service string
	shape   admission.RequestShape
	limit   limits.Limit
	request admission.Request
}

// admissionSlot represents a request in admission from its submission until finish, which returns the slot of a
// started request.
type admissionSlot struct {
	admitter *admitter
	service  *admission.Core
	id       uint64
	charge   limits.Charge
	shape    admission.RequestShape
	once     sync.Once
}

// estimate returns the number of tokens that a request is expected to use.
func (a *admitter) estimate(shape admission.RequestShape) admission.Estimate {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.estimator.Estimate(shape)
}

// admit charges the tenant's limit and blocks until the request may start, is refused or is interrupted through the
// interrupter, for example because its caller disconnected. A refused request has not run.
func (a *admitter) admit(wanted admissionRequest, interrupter *upstream.Interrupter) (*admissionSlot, *refusal) {
	slot, decision, fault := a.submit(wanted)
	if fault != nil {
		return nil, fault
	}
	select {
	case fault = <-decision:
	case <-interrupter.Done():
		fault = a.withdraw(slot, decision, interrupter.Cause())
	}
	if fault != nil {
		a.settle(slot, 0)
		return nil, fault
	}
	return slot, nil
}

// submit charges the tenant's limit and queues the request: immediately, or once the tenant has been granted the share
// of its limit that the request waits for. The channel receives nil when the request may start, or the refusal of
// the request. A request that is refused at once gets only the last result.
func (a *admitter) submit(wanted admissionRequest) (*admissionSlot, <-chan *refusal, *refusal) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	now := a.clock.now()
	service, err := a.service(wanted.service)
	if err != nil {
		return nil, nil, refuseInternal()
	}
	a.nextID++
	wanted.request.ID = a.nextID
	slot := &admissionSlot{admitter: a, service: service, id: a.nextID, shape: wanted.shape}
	decision := make(chan *refusal, 1)
	slot.charge, err = a.limits.Acquire(now, limitRequest(wanted))
	switch {
	case errors.Is(err, limits.ErrWaiting):
		a.waiting[slot.id] = decision
		a.awaitingShare[slot.id] = &shareWaiter{request: wanted.request, slot: slot}
		a.requestUrgentReport()
	case err != nil:
		return nil, nil, refuseLimit(err)
	default:
		a.waiting[slot.id] = decision
		a.enqueue(now, service, wanted.request)
	}
	return slot, decision, nil
}

// enqueue puts a charged request into the queue of its service. The caller holds the mutex.
func (a *admitter) enqueue(now time.Duration, service *admission.Core, request admission.Request) {
	a.refuseQueued(service.Offer(now, request))
	a.start(service, now)
}

// withdraw removes an interrupted request from its queue. A request that has already started is finished as failed;
// one that has already been refused keeps its refusal.
func (a *admitter) withdraw(slot *admissionSlot, decision <-chan *refusal, cause error) *refusal {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.limits.CancelWait(slot.id) || slot.service.Remove(slot.id) {
		delete(a.awaitingShare, slot.id)
		delete(a.waiting, slot.id)
		return refuseInterrupted(cause)
	}
	if fault := <-decision; fault != nil {
		return fault
	}
	slot.service.Finish(a.clock.now(), slot.id, admission.Result{Failed: true})
	a.start(slot.service, a.clock.now())
	return refuseInterrupted(cause)
}

// service returns the queue of a service and creates it when needed. The caller holds the mutex.
func (a *admitter) service(name string) (*admission.Core, error) {
	if service, ok := a.services[name]; ok {
		return service, nil
	}
	service, err := admission.New(a.config)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	a.services[name] = service
	return service, nil
}

// start starts every request whose turn has come. The caller holds the mutex.
func (a *admitter) start(service *admission.Core, now time.Duration) {
	for {
		next, ok := service.StartNext(now)
		if !ok {
			a.refuseQueued(service.DrainRefusals())
			return
		}
		a.waiting[next.ID] <- nil
		delete(a.waiting, next.ID)
	}
}

// refuseQueued delivers refusals to the requests that wait for them. The caller holds the mutex.
func (a *admitter) refuseQueued(refusals []admission.Refusal) {
	for _, queueRefusal := range refusals {
		a.waiting[queueRefusal.ID] <- refuseAdmission(queueRefusal)
		delete(a.waiting, queueRefusal.ID)
	}
}

// settle replaces the estimated charge of the tenant's limit with the tokens used.
func (a *admitter) settle(slot *admissionSlot, used int) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.limits.Settle(a.clock.now(), slot.charge, used)
}

// recordFirstToken records how long a started request waited for its first token, without the time of its prefill.
func (s *admissionSlot) recordFirstToken(wait time.Duration) {
	s.admitter.mutex.Lock()
	defer s.admitter.mutex.Unlock()
	s.service.RecordFirstToken(s.admitter.clock.now(), s.id, wait)
}

// finish returns the slot of a started request. Only the first call has an effect.
func (s *admissionSlot) finish(result admission.Result) {
	s.once.Do(func() {
		a := s.admitter
		a.mutex.Lock()
		defer a.mutex.Unlock()
		now := a.clock.now()
		a.limits.Settle(now, s.charge, result.PromptTokens+result.OutputTokens)
		if !result.Failed && result.PromptTokens > 0 {
			a.estimator.RecordUsage(s.shape, admission.Estimate{PromptTokens: result.PromptTokens, OutputTokens: result.OutputTokens})
		}
		s.service.Finish(now, s.id, result)
		a.start(s.service, now)
	})
}

// admissionLoop refuses requests that have waited too long, until the context ends.
func (c *Control) admissionLoop(ctx context.Context) {
	for pause.For(ctx, admissionInterval) {
		c.admitter.expire()
		inFlight, waiting := c.admitter.counts()
		c.metrics.inFlight.Set(float64(inFlight))
		c.metrics.waiting.Set(float64(waiting))
	}
}

func (a *admitter) expire() {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	now := a.clock.now()
	a.resolveShareWaits(now)
	for _, service := range a.services {
		a.refuseQueued(service.Expire(now))
		a.start(service, now)
	}
}

// counts returns the requests in flight and the requests waiting, over all services.
func (a *admitter) counts() (inFlight, waiting int) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	for _, service := range a.services {
		inFlight += service.InFlightCount()
		waiting += service.WaitingCount()
	}
	return inFlight, waiting + a.limits.WaitingCount()
}

// refuseLimit converts a refusal by the tenant's limit into the refusal for the caller.
func refuseLimit(err error) *refusal {
	var limitRefusal *limits.Refusal
	if !errors.As(err, &limitRefusal) {
		return refuseInternal()
	}
	if errors.Is(limitRefusal.Reason, limits.ErrTooManyTenants) {
		return refuse(http.StatusServiceUnavailable, typeRateLimit, codeOverloaded, "the gateway has too many tenants at once").after(limitRefusal.RetryAfter)
	}
	return refuse(http.StatusTooManyRequests, typeRateLimit, codeRateLimit, limitRefusal.Reason.Error()).after(limitRefusal.RetryAfter)
}

// refuseAdmission converts a refusal by a service's queue into the refusal for the caller.
func refuseAdmission(queueRefusal admission.Refusal) *refusal {
	switch {
	case errors.Is(queueRefusal.Reason, admission.ErrDeadline):
		return refuseInfeasible().after(queueRefusal.RetryAfter)
	case errors.Is(queueRefusal.Reason, admission.ErrTooLarge):
		return refuse(http.StatusRequestEntityTooLarge, typeInvalidRequest, codeTooLarge, "the request is too large to wait")
	default:
		return refuse(http.StatusServiceUnavailable, typeRateLimit, codeOverloaded, "too many requests are waiting").
			after(max(queueRefusal.RetryAfter, overloadedRetry))
	}
}

func refuseInfeasible() *refusal {
	return refuse(http.StatusServiceUnavailable, typeRateLimit, codeOverloaded, "the request cannot be completed within its deadline now")
}
