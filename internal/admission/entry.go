package admission

import (
	"math"
	"time"
)

// entry is a waiting request or one in flight.
type entry struct {
	Request
	queue *tenantQueue
	// cost is in prompt tokens.
	cost float64
	// worthClass is the rounded binary logarithm of worth per cost. Requests whose worth
	// per token differs by less than a factor of about 2 are in the same class.
	worthClass    int
	latestStartAt time.Duration // latest time at which the request may start
	sequence      uint64        // order of arrival
	startedAt     time.Duration // set when the request starts
	// firstToken is the time from the start to the first token; 0 until it arrives.
	firstToken time.Duration
	// wait is the part of firstToken that the request's own work does not explain.
	wait time.Duration
}

// lowestWorthClass is the class of a request without worth.
const lowestWorthClass = -64

func (c *Core) newEntry(request Request, queue *tenantQueue) *entry {
	c.sequence++
	cost := c.cost(request.PromptTokens, request.OutputTokens)
	return &entry{
		Request:       request,
		queue:         queue,
		cost:          cost,
		worthClass:    worthClass(request.Worth, cost),
		latestStartAt: request.latestStart(),
		sequence:      c.sequence,
	}
}

func (c *Core) cost(promptTokens, outputTokens int) float64 {
	return max(float64(promptTokens)+c.config.OutputWeight*float64(outputTokens), 1)
}

func worthClass(worth, cost float64) int {
	if !(worth > 0) {
		return lowestWorthClass
	}
	class := math.Round(math.Log2(worth / cost))
	return int(min(max(class, lowestWorthClass+1), -lowestWorthClass))
}

// before is the service order within a tenant: worth class, then latest start, then arrival.
func (e *entry) before(other *entry) bool {
	if e.worthClass != other.worthClass {
		return e.worthClass > other.worthClass
	}
	if e.latestStartAt != other.latestStartAt {
		return e.latestStartAt < other.latestStartAt
	}
	return e.sequence < other.sequence
}
