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
	// admissionInterval is the time between two looks for requests that wait too long.
	admissionInterval = 50 * time.Millisecond
	// estimatorPairs bounds the pairs of tenant and kind whose tokens are remembered.
	estimatorPairs = 4096
	// tenantWaiterPart is the part of the requests waiting for shares that one tenant may
	// have: a quarter.
	tenantWaiterPart = 4
)

// admitter decides which requests start: it holds tenants to their limits and lets
// requests wait in the queue of their service. It is safe for concurrent use.
type admitter struct {
	clock  clock
	config admission.Config

	mutex     sync.Mutex
	nextID    uint64
	limits    *limits.Core
	estimator *admission.Estimator
	services  map[string]*admission.Core
	waiting   map[uint64]chan<- *refusal
	// asking are the requests that wait for a share of their tenant's limit.
	asking map[uint64]*askingRequest
	// wakeReport asks the report loop for an urgent report.
	wakeReport chan struct{}
}

func newAdmitter(clock clock, bounds settings.GatewayLimits) (*admitter, error) {
	limiter, err := limits.New(limits.Config{Waiters: bounds.QueueLength, TenantWaiters: max(bounds.QueueLength/tenantWaiterPart, 1)})
	if err != nil {
		return nil, trace.Wrap(err)
	}
	estimator, err := admission.NewEstimator(estimatorPairs)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return &admitter{
		clock:     clock,
		config:    admission.Config{QueueLength: bounds.QueueLength, MaximumInFlight: bounds.InFlight},
		limits:    limiter,
		estimator: estimator,
		services:  map[string]*admission.Core{},
		waiting:   map[uint64]chan<- *refusal{},
		asking:    map[uint64]*askingRequest{},

		wakeReport: make(chan struct{}, 1),
	}, nil
}

// admissionRequest is what the admitter needs to know of a request.
type admissionRequest struct {
	service string
	shape   admission.RequestShape
	limit   limits.Limit
	request admission.Request
}

// ticket is an admitted request's place. It is given back once.
type ticket struct {
	admitter *admitter
	service  *admission.Core
	id       uint64
	charge   limits.Charge
	shape    admission.RequestShape
	once     sync.Once
}

// estimate returns the tokens that a request is expected to take.
func (a *admitter) estimate(shape admission.RequestShape) admission.Estimate {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.estimator.Estimate(shape)
}

// admit charges the tenant and waits for the request's turn. A refused request has not
// run. It ends early when the interrupter fires.
func (a *admitter) admit(wanted admissionRequest, interrupter *upstream.Interrupter) (*ticket, *refusal) {
	place, started, fault := a.offer(wanted)
	if fault != nil {
		return nil, fault
	}
	select {
	case fault = <-started:
	case <-interrupter.Done():
		fault = a.withdraw(place, started, interrupter.Cause())
	}
	if fault != nil {
		a.settle(place, 0)
		return nil, fault
	}
	return place, nil
}

// offer charges the tenant and puts the request into its queue, at once or when a share
// of the tenant's limit has come. The channel gets nil when the request may start.
func (a *admitter) offer(wanted admissionRequest) (*ticket, <-chan *refusal, *refusal) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	now := a.clock.now()
	service, err := a.service(wanted.service)
	if err != nil {
		return nil, nil, refuseInternal()
	}
	a.nextID++
	wanted.request.ID = a.nextID
	place := &ticket{admitter: a, service: service, id: a.nextID, shape: wanted.shape}
	started := make(chan *refusal, 1)
	place.charge, err = a.limits.Acquire(now, limitRequest(wanted))
	switch {
	case errors.Is(err, limits.ErrWaiting):
		a.waiting[place.id] = started
		a.asking[place.id] = &askingRequest{request: wanted.request, place: place}
		a.askUrgently()
	case err != nil:
		return nil, nil, refuseLimit(err)
	default:
		a.waiting[place.id] = started
		a.enqueue(now, service, wanted.request)
	}
	return place, started, nil
}

// enqueue puts a charged request into the queue of its service; the mutex is held.
func (a *admitter) enqueue(now time.Duration, service *admission.Core, request admission.Request) {
	a.tell(service.Offer(now, request))
	a.start(service, now)
}

// withdraw takes a request that was interrupted out of its queue, unless it has
// just been started or refused.
func (a *admitter) withdraw(place *ticket, started <-chan *refusal, cause error) *refusal {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.limits.CancelWait(place.id) || place.service.Remove(place.id) {
		delete(a.asking, place.id)
		delete(a.waiting, place.id)
		return refuseInterrupted(cause)
	}
	if fault := <-started; fault != nil {
		return fault
	}
	place.service.Finish(a.clock.now(), place.id, admission.Result{Failed: true})
	a.start(place.service, a.clock.now())
	return refuseInterrupted(cause)
}

// service returns the queue of a service; the mutex is held.
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

// start starts every request whose turn it is; the mutex is held.
func (a *admitter) start(service *admission.Core, now time.Duration) {
	for {
		next, ok := service.StartNext(now)
		if !ok {
			a.tell(service.DrainRefusals())
			return
		}
		a.waiting[next.ID] <- nil
		delete(a.waiting, next.ID)
	}
}

// tell answers the requests that are given up on; the mutex is held.
func (a *admitter) tell(given []admission.Refusal) {
	for _, each := range given {
		a.waiting[each.ID] <- refuseAdmission(each)
		delete(a.waiting, each.ID)
	}
}

// settle corrects the tenant's charge by what was used.
func (a *admitter) settle(place *ticket, used int) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.limits.Settle(a.clock.now(), place.charge, used)
}

// firstToken tells that the started request has brought its first token, wait later than
// its own work explains.
func (t *ticket) firstToken(wait time.Duration) {
	t.admitter.mutex.Lock()
	defer t.admitter.mutex.Unlock()
	t.service.RecordFirstToken(t.admitter.clock.now(), t.id, wait)
}

// finish gives a started request's place back. Only the first call counts.
func (t *ticket) finish(result admission.Result) {
	t.once.Do(func() {
		a := t.admitter
		a.mutex.Lock()
		defer a.mutex.Unlock()
		now := a.clock.now()
		a.limits.Settle(now, t.charge, result.PromptTokens+result.OutputTokens)
		if !result.Failed && result.PromptTokens > 0 {
			a.estimator.RecordUsage(t.shape, admission.Estimate{PromptTokens: result.PromptTokens, OutputTokens: result.OutputTokens})
		}
		t.service.Finish(now, t.id, result)
		a.start(t.service, now)
	})
}

// admissionLoop gives up on requests that wait too long, until the context ends.
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
	a.resolve(now)
	for _, service := range a.services {
		a.tell(service.Expire(now))
		a.start(service, now)
	}
}

// counts returns the requests in flight and waiting, over all services.
func (a *admitter) counts() (inFlight, waiting int) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	for _, service := range a.services {
		inFlight += service.InFlightCount()
		waiting += service.WaitingCount()
	}
	return inFlight, waiting + a.limits.WaitingCount()
}

// refuseLimit translates a tenant's own limit.
func refuseLimit(err error) *refusal {
	var known *limits.Refusal
	if !errors.As(err, &known) {
		return refuseInternal()
	}
	if errors.Is(known.Reason, limits.ErrTooManyTenants) {
		return refuse(http.StatusServiceUnavailable, typeRateLimit, codeOverloaded, "the gateway has too many tenants at once").after(known.RetryAfter)
	}
	return refuse(http.StatusTooManyRequests, typeRateLimit, codeRateLimit, known.Reason.Error()).after(known.RetryAfter)
}

// refuseAdmission translates a queue's refusal.
func refuseAdmission(given admission.Refusal) *refusal {
	switch {
	case errors.Is(given.Reason, admission.ErrDeadline):
		return refuseInfeasible().after(given.RetryAfter)
	case errors.Is(given.Reason, admission.ErrTooLarge):
		return refuse(http.StatusRequestEntityTooLarge, typeInvalidRequest, codeTooLarge, "the request is too large to wait")
	default:
		return refuse(http.StatusServiceUnavailable, typeRateLimit, codeOverloaded, "too many requests are waiting").
			after(max(given.RetryAfter, overloadedRetry))
	}
}

func refuseInfeasible() *refusal {
	return refuse(http.StatusServiceUnavailable, typeRateLimit, codeOverloaded, "the request cannot be completed within its deadline now")
}
