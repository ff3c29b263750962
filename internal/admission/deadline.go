package admission

import "time"

// Bounds of Retry-After.
const (
	minimumRetryAfter = time.Second
	maximumRetryAfter = 30 * time.Second
)

// Expire gives up on every waiting request that can no longer meet its deadline,
// or is predicted not to. The owner calls it often (every 50 ms) and answers the
// callers at once.
func (c *Core) Expire(now time.Duration) []Refusal {
	given := c.DrainRefusals()
	for {
		first, found := c.byStart.Min()
		if !found || first.start >= now {
			break
		}
		given = append(given, c.giveUp(first, ErrDeadline, minimumRetryAfter))
	}
	return append(given, c.expirePredicted(now)...)
}

// expirePredicted gives up on requests that will start too late at the present
// rate. Giving up on one lets those behind it start earlier.
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
	given := make([]Refusal, 0, len(late))
	for _, each := range late {
		given = append(given, c.giveUp(each.entry, ErrDeadline, retryAfter(each.lateness)))
	}
	return given
}

// lateness is by how much the predicted start of e misses the latest start that lets it
// end in time, with slack; 0 or less when it is in time. ahead is the cost of the tenant's requests
// that go before it.
func (c *Core) lateness(now time.Duration, e *entry, ahead float64) time.Duration {
	if e.start == noDeadline {
		return 0
	}
	start := e.Deadline - c.paces.serviceTime(now, &e.Request, c.reading.wait(e.Priority))
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

// waitingWeight is the sum of weights of the tenants that wait, with this one.
func (c *Core) waitingWeight(with *tenantQueue) float64 {
	sum := c.weightSum
	if with.entries.Len() == 0 {
		sum += with.weight
	}
	return max(sum, with.weight)
}

func (c *Core) giveUp(e *entry, reason error, after time.Duration) Refusal {
	c.dequeue(e)
	c.rank(e.queue)
	c.forgetIdle(e.queue)
	return Refusal{ID: e.ID, Reason: reason, RetryAfter: after}
}

func retryAfter(late time.Duration) time.Duration {
	return min(max(late, minimumRetryAfter), maximumRetryAfter)
}
