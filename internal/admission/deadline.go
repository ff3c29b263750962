package admission

import "time"

// Bounds of the Retry-After of a refusal.
const (
	minimumRetryAfter = time.Second
	maximumRetryAfter = 30 * time.Second
)

// Expire refuses every waiting request that can no longer meet its deadline or is predicted to
// miss it. The result includes the refusals of DrainRefusals. Call it often (every 50 ms) and
// answer the callers immediately.
func (c *Core) Expire(now time.Duration) []Refusal {
	refusals := c.DrainRefusals()
	for {
		first, found := c.byLatestStart.Min()
		if !found || first.latestStartAt >= now {
			break
		}
		refusals = append(refusals, c.refuse(first, ErrDeadline, minimumRetryAfter))
	}
	return append(refusals, c.expirePredicted(now)...)
}

// expirePredicted refuses requests that would start too late at the current service rate.
// Refusing one request brings the start of those behind it forward.
func (c *Core) expirePredicted(now time.Duration) []Refusal {
	type lateEntry struct {
		entry    *entry
		lateness time.Duration
	}
	var late []lateEntry
	c.waiting.Ascend(func(queue *tenantQueue) bool {
		ahead := 0.0
		queue.entries.Ascend(func(e *entry) bool {
			if by := c.lateness(now, e, ahead); by > 0 {
				late = append(late, lateEntry{e, by})
			} else {
				ahead += e.cost
			}
			return true
		})
		return true
	})
	refusals := make([]Refusal, 0, len(late))
	for _, each := range late {
		refusals = append(refusals, c.refuse(each.entry, ErrDeadline, retryAfter(each.lateness)))
	}
	return refusals
}

// lateness returns how far the predicted start of e lies past the latest start that meets its
// deadline, with slack applied; 0 or less when e is in time. ahead is the cost of the tenant's
// requests that are served before e.
func (c *Core) lateness(now time.Duration, e *entry, ahead float64) time.Duration {
	if e.latestStartAt == noDeadline {
		return 0
	}
	start := e.Deadline - c.latencies.serviceTime(now, &e.Request, c.prefill.wait(e.Priority))
	if start < now {
		return now - start
	}
	if c.rate.perSecond == 0 || ahead == 0 {
		return 0
	}
	share := c.rate.perSecond * e.queue.weight / c.waitingWeight(e.queue)
	wait := time.Duration(ahead / share * float64(time.Second))
	if time.Duration(float64(wait)/c.config.PredictionSlack) <= start-now {
		return 0
	}
	return now + wait - start
}

// waitingWeight returns the sum of the weights of the tenants with waiting requests, and of the given tenant.
func (c *Core) waitingWeight(with *tenantQueue) float64 {
	sum := c.weightSum
	if with.entries.Len() == 0 {
		sum += with.weight
	}
	return max(sum, with.weight)
}

func (c *Core) refuse(e *entry, reason error, after time.Duration) Refusal {
	c.dequeue(e)
	c.rank(e.queue)
	c.removeIfIdle(e.queue)
	return Refusal{ID: e.ID, Reason: reason, RetryAfter: after}
}

func retryAfter(late time.Duration) time.Duration {
	return min(max(late, minimumRetryAfter), maximumRetryAfter)
}
