package slots

import (
	"time"

	"github.com/hazelpitch/hazelpitch/internal/mechanism"
	"github.com/hazelpitch/hazelpitch/internal/returnplan"
	"github.com/hazelpitch/hazelpitch/internal/slotqueue"
)

const (
	// deputyPause is the time without requests after which a deputy counts as new when it is asked again. A relay that
	// reports nothing for this long loses its slots, so the state of the deputy is then no better than that of a new owner.
	deputyPause = 2 * time.Second
	// maxAskers bounds the recorded askers: twice the queued requests that a queue accepts.
	maxAskers = 4096
)

// ownedService is the queue of a service whose slots this relay grants as owner, or as deputy when the owner does not answer.
type ownedService struct {
	name     string
	isDeputy bool
	queue    *slotqueue.Queue
	// plan is nil if returns are not planned.
	plan *returnplan.Plan
	// askers maps queued requests to the addresses of the relays that asked.
	askers map[slotqueue.RequestID]string
	// isAsked is true if the relay was asked for slots; lastAskedAt is when it was asked last.
	isAsked     bool
	lastAskedAt time.Duration
	// expiredLeases is the number of expired leases that the metrics contain already.
	expiredLeases uint64
	// changes are the changes of the promises that the other owner has not been sent.
	changes []returnplan.Change
}

func newOwnedService(name string, config *Config) *ownedService {
	owned := &ownedService{name: name, askers: map[slotqueue.RequestID]string{}}
	queueConfig := slotqueue.Config{Draw: config.Draw}
	if config.Without.IsEnabled(mechanism.ReturnPlans) {
		owned.plan = returnplan.New(returnplan.DefaultSpan)
		queueConfig.Returns = owned.plan
	}
	owned.queue = slotqueue.New(queueConfig)
	return owned
}

// submit decides on a request of the relay with the given address. isFirst is false for the repetition of a request that
// is queued.
func (o *ownedService) submit(now time.Duration, request slotqueue.Request, from string) (decision slotqueue.Decision, isFirst bool) {
	if o.isDeputy && (!o.isAsked || now-o.lastAskedAt >= deputyPause) {
		o.queue.BeginOwnership(now)
	}
	o.isAsked, o.lastAskedAt = true, now
	_, isQueued := o.askers[request.ID]
	decision = o.queue.Submit(now, request)
	if decision.Outcome != slotqueue.Queued {
		delete(o.askers, request.ID)
		return decision, true
	}
	if len(o.askers) >= maxAskers {
		clear(o.askers) // requests that are still awaited are recorded again as they are repeated
	}
	o.askers[request.ID] = from
	return decision, !isQueued
}

func (o *ownedService) cancel(now time.Duration, id slotqueue.RequestID) {
	delete(o.askers, id)
	o.queue.Cancel(now, id)
}

// advance returns the decisions on queued requests with the relays that wait for them.
func (o *ownedService) advance(now time.Duration) []addressedDecision {
	var decided []addressedDecision
	for _, decision := range o.queue.Advance(now) {
		if asker, isAwaited := o.askers[decision.ID]; isAwaited {
			delete(o.askers, decision.ID)
			decided = append(decided, addressedDecision{decision: decision, to: asker})
		}
	}
	if o.queue.QueuedCount() == 0 {
		clear(o.askers)
	}
	return decided
}

// needsAdvance reports whether the queue must be advanced now.
func (o *ownedService) needsAdvance(now time.Duration) bool {
	at, needed := o.queue.NextAt()
	return needed && at <= now
}

// collectChanges collects the changes of the promises for the other owner.
func (o *ownedService) collectChanges() bool {
	if o.plan == nil {
		return false
	}
	o.changes = append(o.changes, o.plan.Changes()...)
	return len(o.changes) > 0
}

// newlyExpired returns the number of leases that have expired since the last call.
func (o *ownedService) newlyExpired() uint64 {
	expired := o.queue.ExpiredLeases()
	newly := expired - o.expiredLeases
	o.expiredLeases = expired
	return newly
}
