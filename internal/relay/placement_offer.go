package relay

import (
	"github.com/hazelpitch/hazelpitch/internal/mechanism"
	"github.com/hazelpitch/hazelpitch/internal/placement"
)

const (
	// maxHomeCells is the maximum number of cells to which one request is offered.
	maxHomeCells = 3
	// maxOwnersQueried is the maximum number of a cell's owners that are queried before this relay decides itself.
	maxOwnersQueried = 2
)

// decideInCell returns the decision of the cell's owner, of its deputy when the owner does not answer, or of this relay
// when neither answers.
func (c *placementClient) decideInCell(cells *serviceCells, index int, query *engineQuery, stop <-chan struct{}) engineAnswer {
	id := cells.division.Cells()[index].ID
	if !c.relay.mechanisms.IsEnabled(mechanism.Owners) {
		return c.relay.placementOwner.decide(query, cells.members[index], nil)
	}
	for _, owner := range c.trustedOwners(c.relay.clock.now(), cells.owners[index], maxOwnersQueried) {
		if owner == c.datagrams.Address {
			c.relay.metrics.placementQueries.WithLabelValues(queryOwnCell).Inc()
			return c.relay.placementOwner.decide(query, cells.members[index], nil)
		}
		if answer, answered := c.query(owner, id, query, stop); answered {
			return answer
		}
		if isClosed(stop) {
			break
		}
	}
	c.relay.metrics.placementQueries.WithLabelValues(queryDecidedHere).Inc()
	answer := c.relay.placementOwner.decide(query, cells.members[index], nil)
	answer.isDecidedHere = true
	return answer
}

// decide offers a request to its home cells, one after another, until one of them can serve it well. Engines of a further
// cell can fetch the prompt's prefix from the engine that has cached it in the first cell.
func (c *placementClient) decide(cells *serviceCells, homes []int, query *engineQuery, stop <-chan struct{}) engineAnswer {
	if len(homes) == 0 {
		return engineAnswer{decision: placement.Decision{Action: placement.Unplaced, Reason: placement.ReasonNoEngine}}
	}
	best := c.decideInCell(cells, homes[0], query, stop)
	if !c.relay.policy.ShouldSpill(query.request, best.decision) {
		return best
	}
	query.holder = best.holder
	for _, home := range homes[1:] {
		if isClosed(stop) {
			break
		}
		c.relay.metrics.spills.Inc()
		next := c.decideInCell(cells, home, query, stop)
		if next.decision.IsBetter(best.decision) {
			best, next = next, best
		}
		if next.selection != nil {
			c.cancel(next.selection.assignment)
		}
		if !c.relay.policy.ShouldSpill(query.request, best.decision) {
			break
		}
	}
	return best
}
