package admission

import "math"

// worthSmoothing is the weight of one request in the running mean of worth classes.
const worthSmoothing = 0.01

// updateWorthLevel updates the mean worth class, the reference against which the worth of a
// request is high or low.
func (c *Core) updateWorthLevel(e *entry) {
	if c.sequence == 1 {
		c.worthLevel = float64(e.worthClass)
	}
	c.worthLevel += worthSmoothing * (float64(e.worthClass) - c.worthLevel)
}

// effectiveWeight returns the tenant's weight, adjusted by the worth per token of the request.
func (c *Core) effectiveWeight(e *entry) float64 {
	if c.config.FirstInFirstOut {
		return 1
	}
	factor := math.Exp2((float64(e.worthClass) - c.worthLevel) / 2)
	return e.queue.weight * min(max(factor, 1/c.config.WorthBound), c.config.WorthBound)
}

func (c *Core) tenantQueue(tenant string, weight uint32) *tenantQueue {
	if c.config.FirstInFirstOut {
		tenant = ""
	}
	queue, found := c.tenants[tenant]
	if !found {
		queue = newTenantQueue(tenant, c.config.FirstInFirstOut)
		c.tenants[tenant] = queue
	}
	if changed := float64(max(weight, 1)); changed != queue.weight {
		c.unrank(queue)
		queue.weight = changed
		c.rank(queue)
	}
	return queue
}

func (c *Core) enqueue(e *entry) {
	queue := e.queue
	c.unrank(queue)
	queue.add(e)
	c.entries[e.ID] = e
	c.byLatestStart.ReplaceOrInsert(e)
	c.queuedBytes += e.Bytes
	c.queuedCost += e.cost
	c.rank(queue)
}

// dequeue removes a request from the queue. The caller must call rank for its tenant afterwards.
func (c *Core) dequeue(e *entry) {
	queue := e.queue
	c.unrank(queue)
	queue.remove(e)
	delete(c.entries, e.ID)
	c.byLatestStart.Delete(e)
	c.queuedBytes -= e.Bytes
	c.queuedCost -= e.cost
	if len(c.entries) == 0 {
		c.queuedCost = 0 // discard rounding errors
	}
}

// rank inserts a tenant with waiting requests into the service order. The tenant must not be in it.
func (c *Core) rank(queue *tenantQueue) {
	if queue.entries.Len() == 0 {
		return
	}
	queue.startTag = max(c.virtualTime, queue.finishTag)
	c.waiting.ReplaceOrInsert(queue)
	c.weightSum += queue.weight
}

// unrank removes a tenant from the service order. Call it before its tag or weight changes.
func (c *Core) unrank(queue *tenantQueue) {
	if _, found := c.waiting.Delete(queue); !found {
		return
	}
	c.weightSum -= queue.weight
	if c.waiting.Len() == 0 {
		c.weightSum = 0 // discard rounding errors
	}
}

// removeIfIdle deletes a tenant without waiting requests and without requests in flight. This
// discards the tokens that it used in advance, which are at most those of its last request.
func (c *Core) removeIfIdle(queue *tenantQueue) {
	if queue.entries.Len() == 0 && queue.inFlight == 0 {
		delete(c.tenants, queue.tenant)
	}
}
