package slots

import (
	"sync"
	"time"

	"github.com/hazelpitch/hazelpitch/internal/events"
	"github.com/hazelpitch/hazelpitch/internal/returnplan"
	"github.com/hazelpitch/hazelpitch/internal/slotqueue"
)

// granter grants the slots of the services of which this relay is the owner or the deputy. It is safe for concurrent use.
type granter struct {
	config *Config
	// send sends a decision to the relay that asked.
	send func(addressedDecision)
	// rescheduled holds a value when a queue must be advanced earlier than scheduled.
	rescheduled chan struct{}
	// promisesChanged holds a value when promises have changed that the other owner has not been sent.
	promisesChanged chan struct{}

	mutex    sync.Mutex
	services map[string]*ownedService
	// scheduledAt is when the queues are advanced next; isScheduled is false if that is not needed.
	scheduledAt time.Duration
	isScheduled bool
}

func newGranter(config *Config, send func(addressedDecision)) *granter {
	return &granter{
		config: config, send: send, rescheduled: make(chan struct{}, 1), promisesChanged: make(chan struct{}, 1),
		services: map[string]*ownedService{},
	}
}

// setServices sets the services whose slots this relay grants, with its rank among the owners of each, and updates their
// back ends.
func (g *granter) setServices(ranks map[string]int) {
	g.mutex.Lock()
	now := g.config.Now()
	var decided []addressedDecision
	for name, owned := range g.services {
		if _, isOwned := ranks[name]; !isOwned {
			delete(g.services, name)
			g.logOwnership(events.SlotsReleased, owned)
		}
	}
	for name, rank := range ranks {
		owned := g.ensureOwned(now, name, rank > 0)
		owned.queue.SetBackEnds(now, g.config.BackEnds(name))
		decided = append(decided, g.advance(now, owned)...)
		g.recordExpiriesAndPromises(owned)
	}
	g.reschedule()
	g.mutex.Unlock()
	g.sendAll(decided)
}

// ensureOwned returns the queue of a service whose slots this relay grants, and creates it if needed. The mutex is held.
func (g *granter) ensureOwned(now time.Duration, name string, isDeputy bool) *ownedService {
	owned, isKnown := g.services[name]
	if isKnown && owned.isDeputy == isDeputy {
		return owned
	}
	if !isKnown {
		owned = newOwnedService(name, g.config)
		g.services[name] = owned
	}
	owned.isDeputy = isDeputy
	if !isDeputy {
		owned.queue.BeginOwnership(now)
	}
	g.logOwnership(events.SlotsAcquired, owned)
	return owned
}

// submit decides on a request; isOwner is false when this relay does not grant the slots of the service.
func (g *granter) submit(service string, request slotqueue.Request, from string) (decision slotqueue.Decision, isOwner bool) {
	isOwner = g.update(service, func(now time.Duration, owned *ownedService) bool {
		var isFirst bool
		if decision, isFirst = owned.submit(now, request, from); isFirst {
			g.recordDecision(owned, &decision)
		}
		return owned.needsAdvance(now)
	})
	return decision, isOwner
}

// cancel withdraws a request.
func (g *granter) cancel(service string, id slotqueue.RequestID) {
	g.update(service, func(now time.Duration, owned *ownedService) bool {
		owned.cancel(now, id)
		return true
	})
}

// applyReport applies a relay's report.
func (g *granter) applyReport(service string, report slotqueue.Report) {
	g.update(service, func(now time.Duration, owned *ownedService) bool {
		owned.queue.ApplyReport(now, report)
		return true
	})
}

// applyChanges applies changes of the promises that the other owner of the slots has made.
func (g *granter) applyChanges(service string, changes []returnplan.Change) {
	g.update(service, func(now time.Duration, owned *ownedService) bool {
		if owned.plan == nil {
			return false
		}
		for _, change := range changes {
			owned.plan.ApplyChange(now, change)
		}
		return false
	})
}

// update changes the queue of a service, and advances it if the change returns true. It returns false when this relay does
// not grant the slots of the service.
func (g *granter) update(service string, change func(now time.Duration, owned *ownedService) bool) bool {
	g.mutex.Lock()
	owned := g.services[service]
	if owned == nil {
		g.mutex.Unlock()
		return false
	}
	now := g.config.Now()
	var decided []addressedDecision
	if change(now, owned) {
		decided = g.advance(now, owned)
	}
	g.recordExpiriesAndPromises(owned)
	g.reschedule()
	g.mutex.Unlock()
	g.sendAll(decided)
	return true
}

// advanceDue advances the queues whose time has come, and returns when it must be called again; needed is false if it need
// not be.
func (g *granter) advanceDue() (wait time.Duration, needed bool) {
	g.mutex.Lock()
	now := g.config.Now()
	var decided []addressedDecision
	for _, owned := range g.services {
		if owned.needsAdvance(now) {
			decided = append(decided, g.advance(now, owned)...)
			g.recordExpiriesAndPromises(owned)
		}
	}
	g.scheduledAt, g.isScheduled = g.nextAt()
	wait, needed = max(g.scheduledAt-now, minAdvanceInterval), g.isScheduled
	g.mutex.Unlock()
	g.sendAll(decided)
	return wait, needed
}

// minAdvanceInterval is the least time between two calls of Advance by the timer, so that a queue which is always due does
// not take the whole processor.
const minAdvanceInterval = time.Millisecond

// advance advances a queue and records its decisions. The mutex is held.
func (g *granter) advance(now time.Duration, owned *ownedService) []addressedDecision {
	decided := owned.advance(now)
	for index := range decided {
		g.recordDecision(owned, &decided[index].decision)
	}
	return decided
}

// recordExpiriesAndPromises counts the leases that have expired, and signals changes of the promises. It must be called
// after each change of a queue. The mutex is held.
func (g *granter) recordExpiriesAndPromises(owned *ownedService) {
	g.config.Metrics.expiredLeases.Add(float64(owned.newlyExpired()))
	if owned.collectChanges() {
		signal(g.promisesChanged)
	}
}

// nextAt returns when a queue must be advanced next. The mutex is held.
func (g *granter) nextAt() (next time.Duration, needed bool) {
	for _, owned := range g.services {
		if at, isNeeded := owned.queue.NextAt(); isNeeded && (!needed || at < next) {
			next, needed = at, true
		}
	}
	return next, needed
}

// reschedule signals when a queue must be advanced earlier than scheduled. The mutex is held.
func (g *granter) reschedule() {
	if next, needed := g.nextAt(); needed && (!g.isScheduled || next < g.scheduledAt) {
		signal(g.rescheduled)
	}
}

// takeChanges returns the changes of the promises that the other owners have not been sent, by service.
func (g *granter) takeChanges() map[string][]returnplan.Change {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	changes := map[string][]returnplan.Change{}
	for name, owned := range g.services {
		if len(owned.changes) > 0 {
			changes[name], owned.changes = owned.changes, nil
		}
	}
	return changes
}

func (g *granter) sendAll(decided []addressedDecision) {
	for _, entry := range decided {
		g.send(entry)
	}
}

// queuedCount returns the number of requests in the queues.
func (g *granter) queuedCount() int {
	return g.sum(func(owned *ownedService) int { return owned.queue.QueuedCount() })
}

// heldCount returns the number of slots in use that the queues know of.
func (g *granter) heldCount() int {
	return g.sum(func(owned *ownedService) int { return owned.queue.HeldCount() })
}

func (g *granter) sum(count func(*ownedService) int) int {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	total := 0
	for _, owned := range g.services {
		total += count(owned)
	}
	return total
}

// signal puts a value into a channel that holds one, unless one is pending already.
func signal(channel chan<- struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}
