package admission

import "time"

// shed gives up on requests until the queue is within its bounds.
func (c *Core) shed() []Refusal {
	var shed []Refusal
	for len(c.entries) > c.config.QueueLength || c.queuedBytes > c.config.QueueBytes {
		shed = append(shed, c.giveUp(c.leastWorth(), ErrQueueFull, c.drainTime()))
	}
	return shed
}

// leastWorth finds the request worth least per token among the tenants that hold
// more than their fair part of the queue; the newest among equals.
func (c *Core) leastWorth() *entry {
	fair := c.queuedCost / max(c.weightSum, 1)
	var least *entry
	c.waiting.Ascend(func(queue *tenantQueue) bool {
		if queue.cost/queue.weight < fair*overShare {
			return true
		}
		last, _ := queue.entries.Max()
		if least == nil || shedBefore(last, least) {
			least = last
		}
		return true
	})
	if least == nil { // rounding left nobody over the fair part
		queue, _ := c.waiting.Max()
		least, _ = queue.entries.Max()
	}
	return least
}

// overShare forgives rounding when a tenant holds just its fair part.
const overShare = 0.999

func shedBefore(a, b *entry) bool {
	if a.worthClass != b.worthClass {
		return a.worthClass < b.worthClass
	}
	return a.sequence > b.sequence
}

// drainTime is how long the present queue takes at the present rate.
func (c *Core) drainTime() time.Duration {
	if c.rate.perSecond == 0 {
		return minimumRetryAfter
	}
	return retryAfter(time.Duration(c.queuedCost / c.rate.perSecond * float64(time.Second)))
}
