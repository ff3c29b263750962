package relay

import (
	"github.com/hazelpitch/hazelpitch/internal/mechanism"
	"github.com/hazelpitch/hazelpitch/internal/placement"
)

const (
	// mostHomes is how many cells a request may be offered to.
	mostHomes = 3
	// ownersAsked is how many owners of a cell are asked before this relay decides by itself.
	ownersAsked = 2
)

// decideIn has the owner of a cell decide, or its stand-in, or this relay where neither answers.
func (a *asker) decideIn(known *cells, index int, query *engineQuery, stop <-chan struct{}) engineAnswer {
	id := known.division.Cells()[index].ID
	if !a.relay.without.IsEnabled(mechanism.Owners) {
		return a.relay.owner.decide(query, known.members[index], nil)
	}
	for _, owner := range a.trusted(a.relay.clock.now(), known.owners[index], ownersAsked) {
		if owner == a.datagrams.Address {
			a.relay.metrics.asked.WithLabelValues(askedOwn).Inc()
			return a.relay.owner.decide(query, known.members[index], nil)
		}
		if answer, answered := a.ask(owner, id, query, stop); answered {
			return answer
		}
		if isClosed(stop) {
			break
		}
	}
	a.relay.metrics.asked.WithLabelValues(askedNobody).Inc()
	answer := a.relay.owner.decide(query, known.members[index], nil)
	answer.unowned = true
	return answer
}

// decide offers a request to its home cells, one after another until one takes it well. What the
// first one keeps of its prompt can be fetched by an engine of the next.
func (a *asker) decide(known *cells, homes []int, query *engineQuery, stop <-chan struct{}) engineAnswer {
	if len(homes) == 0 {
		return engineAnswer{decision: placement.Decision{Action: placement.Unplaced, Reason: placement.ReasonNoEngine}}
	}
	best := a.decideIn(known, homes[0], query, stop)
	if !a.relay.policy.ShouldSpill(query.request, best.decision) {
		return best
	}
	query.holder = best.holder
	for _, home := range homes[1:] {
		if isClosed(stop) {
			break
		}
		a.relay.metrics.spills.Inc()
		next := a.decideIn(known, home, query, stop)
		if next.decision.IsBetter(best.decision) {
			best, next = next, best
		}
		if next.chosen != nil {
			a.cancel(next.chosen.assigned)
		}
		if !a.relay.policy.ShouldSpill(query.request, best.decision) {
			break
		}
	}
	return best
}
