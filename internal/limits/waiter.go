package limits

import (
	"slices"
	"time"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
)

// Request is a request of a tenant with a limit.
type Request struct {
	// ID identifies the request while it waits. It must be unique within the Core.
	ID     uint64
	Tenant string
	Limit  Limit
	// Tokens is the estimated number of prompt and output tokens.
	Tokens int
	// Deadline is the latest time at which the request may start; 0 for none.
	Deadline time.Duration
}

// chargedTokens returns the number of tokens that the request is charged.
func (r *Request) chargedTokens() float64 { return float64(max(r.Tokens, 1)) }

// Decision is the result of a request's wait. Err is nil if the request may start, or a *Refusal.
type Decision struct {
	ID     uint64
	Charge Charge
	Err    error
}

// waiter is a request that waits for the answer to a report, or for the tokens that the share yields.
type waiter struct {
	request      Request
	waitingSince time.Duration
}

// waitDeadline returns the time at which the wait ends at the latest.
func (w *waiter) waitDeadline(longestWait time.Duration) time.Duration {
	if w.request.Deadline == 0 {
		return w.waitingSince + longestWait
	}
	return min(w.waitingSince+longestWait, w.request.Deadline)
}

// mayWait reports whether a request that may not start now may wait. There must be room, and a
// larger share or the current share may let it start in time.
func (c *Core) mayWait(now time.Duration, account *account, refusal *Refusal) bool {
	if account.waiting >= c.config.TenantWaiters || len(c.waiters) >= c.config.Waiters {
		return false
	}
	return account.shareMayGrow(now, c.config.LongestWait) || refusal.Reason == ErrTokenLimit && refusal.wait <= c.config.LongestTokenWait
}

func (c *Core) enqueueWaiter(now time.Duration, account *account, request Request) {
	account.waiting++
	account.waitingTokens += request.chargedTokens()
	c.waiters = append(c.waiters, &waiter{request: request, waitingSince: now})
}

// removeWaiter removes a request from the account's waiting counts.
func (a *account) removeWaiter(w *waiter) {
	a.waiting--
	a.waitingTokens -= w.request.chargedTokens()
}

// Resolve decides the requests whose wait has ended, in order of arrival. Call it after each
// ApplyShares and at short intervals.
func (c *Core) Resolve(now time.Duration) []Decision {
	var decisions []Decision
	// ahead are the tokens of the requests that keep waiting, by tenant.
	ahead := map[string]float64{}
	c.waiters = slices.DeleteFunc(c.waiters, func(w *waiter) bool {
		decision, over := c.resolveWaiter(now, w, ahead)
		if over {
			decisions = append(decisions, decision)
		}
		return over
	})
	return decisions
}

// resolveWaiter decides one waiting request if its wait has ended.
func (c *Core) resolveWaiter(now time.Duration, w *waiter, ahead map[string]float64) (Decision, bool) {
	decision := Decision{ID: w.request.ID}
	account, found := c.accounts.Peek(w.request.Tenant)
	if !found { // an account with waiting requests is never evicted
		decision.Err = &Refusal{Reason: ErrNoShare, RetryAfter: minimumRetryAfter}
		return decision, true
	}
	account.fill(now, c.config.Burst)
	size := w.request.chargedTokens()
	refusal := c.checkLimits(now, account, size, ahead[w.request.Tenant])
	if refusal == nil {
		account.removeWaiter(w)
		decision.Charge = c.charge(account, w.request.Tenant, size)
		return decision, true
	}
	if c.mayKeepWaiting(now, account, w, refusal) {
		ahead[w.request.Tenant] += size
		return Decision{}, false
	}
	account.removeWaiter(w)
	decision.Err = refusal
	return decision, true
}

// mayKeepWaiting reports whether a request keeps waiting: the controllers may still grant more, or
// the current share yields the missing tokens in time.
func (c *Core) mayKeepWaiting(now time.Duration, account *account, w *waiter, refusal *Refusal) bool {
	deadline := w.waitDeadline(c.config.LongestWait)
	if now >= deadline {
		return false
	}
	if account.shareMayGrow(now, c.config.LongestWait) {
		return true
	}
	return refusal.Reason == ErrTokenLimit && now+refusal.wait <= min(deadline, w.waitingSince+c.config.LongestTokenWait)
}

// CancelWait cancels a waiting request whose caller has disconnected. It reports whether the
// request was waiting.
func (c *Core) CancelWait(id uint64) bool {
	position := slices.IndexFunc(c.waiters, func(w *waiter) bool { return w.request.ID == id })
	if position < 0 {
		return false
	}
	if account, found := c.accounts.Peek(c.waiters[position].request.Tenant); found {
		account.removeWaiter(c.waiters[position])
	}
	c.waiters = slices.Delete(c.waiters, position, position+1)
	return true
}

// WaitingCount returns the number of requests that wait for a share.
func (c *Core) WaitingCount() int { return len(c.waiters) }

// UrgentDemands returns what to report immediately: the tenants with waiting requests that arrived
// after the tenant's last report, except tenants for which the controllers have no more to grant.
func (c *Core) UrgentDemands(now time.Duration) []*v1.ShareDemand {
	var tenants []string
	for _, w := range c.waiters {
		account, found := c.accounts.Peek(w.request.Tenant)
		if found && account.requested.reportedAt <= w.waitingSince && account.shareMayGrow(now, c.config.LongestWait) {
			tenants = append(tenants, w.request.Tenant)
		}
	}
	slices.Sort(tenants)
	tenants = slices.Compact(tenants)
	return c.buildReports(now, tenants[:min(len(tenants), c.config.Demands)])
}
