package admission

import "math"

// worthSmoothing is the weight of one request in the running mean of worth classes.
const worthSmoothing = 0.01

// noteWorth keeps the mean worth class, the level against which a request is
// called worth more or less.
func (c *Core) noteWorth(e *entry) {
	if c.sequence == 1 {
		c.worthLevel = float64(e.worthClass)
	}
	c.worthLevel += worthSmoothing * (float64(e.worthClass) - c.worthLevel)
}

// part is the tenant's weight, bent by what the request is worth per token.
func (c *Core) part(e *entry) float64 {
	if c.config.FirstInFirstOut {
		return 1
	}
	bend := math.Exp2((float64(e.worthClass) - c.worthLevel) / 2)
	return e.queue.weight * min(max(bend, 1/c.config.WorthBound), c.config.WorthBound)
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
	c.byStart.ReplaceOrInsert(e)
	c.queuedBytes += e.Bytes
	c.queuedCost += e.cost
	c.rank(queue)
}

// dequeue takes a request out; the caller ranks the tenant afterwards.
func (c *Core) dequeue(e *entry) {
	queue := e.queue
	c.unrank(queue)
	queue.remove(e)
	delete(c.entries, e.ID)
	c.byStart.Delete(e)
	c.queuedBytes -= e.Bytes
	c.queuedCost -= e.cost
	if len(c.entries) == 0 {
		c.queuedCost = 0 // no rounding left over
	}
}

// rank puts a tenant that is not in the fair order into it, if it has work.
func (c *Core) rank(queue *tenantQueue) {
	if queue.entries.Len() == 0 {
		return
	}
	queue.startTag = max(c.virtualTime, queue.finishTag)
	c.waiting.ReplaceOrInsert(queue)
	c.weightSum += queue.weight
}

// unrank takes a tenant out of the fair order, before its tag or weight changes.
func (c *Core) unrank(queue *tenantQueue) {
	if _, found := c.waiting.Delete(queue); !found {
		return
	}
	c.weightSum -= queue.weight
	if c.waiting.Len() == 0 {
		c.weightSum = 0 // no rounding left over
	}
}

// forgetIdle drops a tenant that has nothing here. The tokens it has used ahead of
// others are forgotten with it; they are at most those of its last request.
func (c *Core) forgetIdle(queue *tenantQueue) {
	if queue.entries.Len() == 0 && queue.inFlight == 0 {
		delete(c.tenants, queue.tenant)
	}
}
