package admission

import "time"

// shed refuses requests until the queue is within its bounds.
func (c *Core) shed() []Refusal {
	var shed []Refusal
	for len(c.entries) > c.config.QueueLength || c.queuedBytes > c.config.QueueBytes {
		shed = append(shed, c.refuse(c.leastWorthEntry(), ErrQueueFull, c.drainTime()))
	}
	return shed
}

// leastWorthEntry returns the waiting request worth least per token among the tenants that hold more
// than their fair share of the queue; the newest among equals.
func (c *Core) leastWorthEntry() *entry {
	fair := c.queuedCost / max(c.weightSum, 1)
	var leastWorth *entry
	c.waiting.Ascend(func(queue *tenantQueue) bool {
		if queue.cost/queue.weight < fair*fairShareTolerance {
			return true
		}
		last, _ := queue.entries.Max()
		if leastWorth == nil || shedOrder(last, leastWorth) {
			leastWorth = last
		}
		return true
	})
	if leastWorth == nil { // rounding errors left no tenant above its fair share
		queue, _ := c.waiting.Max()
		leastWorth, _ = queue.entries.Max()
	}
	return leastWorth
}

// fairShareTolerance is the factor on the fair share that absorbs the rounding errors of a tenant that holds exactly
// its fair share.
const fairShareTolerance = 0.999

func shedOrder(a, b *entry) bool {
	if a.worthClass != b.worthClass {
		return a.worthClass < b.worthClass
	}
	return a.sequence > b.sequence
}

// drainTime returns the Retry-After by which the current queue has drained at the current service rate;
// minimumRetryAfter while the rate is unknown.
func (c *Core) drainTime() time.Duration {
	if c.rate.perSecond == 0 {
		return minimumRetryAfter
	}
	return retryAfter(time.Duration(c.queuedCost / c.rate.perSecond * float64(time.Second)))
}
