package relay

import (
	"github.com/hazelpitch/hazelpitch/internal/mechanism"
	"github.com/hazelpitch/hazelpitch/internal/placement"
)

const (
	// maxHomeCells is how many cells a request may be offered to.
	maxHomeCells = 3
	// maxOwnersQueried is how many owners of a cell are asked before this relay decides by itself.
	maxOwnersQueried = 2
)

// decideInCell has the owner of a cell decide, or its stand-in, or this relay where neither answers.
func (a *placementClient) decideInCell(cells *serviceCells, index int, query *engineQuery, stop <-chan struct{}) engineAnswer {
	id := cells.division.Cells()[index].ID
	if !a.relay.without.IsEnabled(mechanism.Owners) {
		return a.relay.owner.decide(query, cells.members[index], nil)
	}
	for _, owner := range a.trustedOwners(a.relay.clock.now(), cells.owners[index], maxOwnersQueried) {
		if owner == a.datagrams.Address {
			a.relay.metrics.placementQueries.WithLabelValues(queryOwnCell).Inc()
			return a.relay.owner.decide(query, cells.members[index], nil)
		}
		if answer, answered := a.query(owner, id, query, stop); answered {
			return answer
		}
		if isClosed(stop) {
			break
		}
	}
	a.relay.metrics.placementQueries.WithLabelValues(queryDecidedHere).Inc()
	answer := a.relay.owner.decide(query, cells.members[index], nil)
	answer.isDecidedHere = true
	return answer
}

// decide offers a request to its home cells, one after another until one takes it well. What the
// first one keeps of its prompt can be fetched by an engine of the next.
func (a *placementClient) decide(cells *serviceCells, homes []int, query *engineQuery, stop <-chan struct{}) engineAnswer {
	if len(homes) == 0 {
		return engineAnswer{decision: placement.Decision{Action: placement.Unplaced, Reason: placement.ReasonNoEngine}}
	}
	best := a.decideInCell(cells, homes[0], query, stop)
	if !a.relay.policy.ShouldSpill(query.request, best.decision) {
		return best
	}
	query.holder = best.holder
	for _, home := range homes[1:] {
		if isClosed(stop) {
			break
		}
		a.relay.metrics.spills.Inc()
		next := a.decideInCell(cells, home, query, stop)
		if next.decision.IsBetter(best.decision) {
			best, next = next, best
		}
		if next.chosen != nil {
			a.cancel(next.chosen.assignment)
		}
		if !a.relay.policy.ShouldSpill(query.request, best.decision) {
			break
		}
	}
	return best
}
