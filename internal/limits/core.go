package limits

import (
	"time"

	"github.com/gravitational/trace"
	"github.com/hashicorp/golang-lru/v2/simplelru"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
)

const (
	minimumRetryAfter = time.Second
	maximumRetryAfter = 30 * time.Second
	// evictionProbes is the largest number of tenants examined in the search for an idle tenant to evict.
	evictionProbes = 16
)

// Core enforces the tenants' limits at one gateway. The package comment describes its contract.
type Core struct {
	config   Config
	accounts *simplelru.LRU[string, *account]
	// nextReportStart is the first tenant of the next report if one report cannot hold all tenants.
	nextReportStart string
	// waiters are the requests that wait for a share, in order of arrival.
	waiters []*waiter
}

// Charge is what Acquire has charged a tenant for one request. The zero Charge belongs to no tenant.
type Charge struct {
	tenant string
	tokens float64
}

// New returns a Core without tenants.
func New(config Config) (*Core, error) {
	if err := config.checkAndSetDefaults(); err != nil {
		return nil, trace.Wrap(err)
	}
	// One more than the limit so that the LRU never evicts on its own.
	accounts, err := simplelru.NewLRU[string, *account](config.Tenants+1, nil)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return &Core{config: config, accounts: accounts}, nil
}

// Acquire charges a tenant the estimated tokens of a request. It returns a *Refusal if the request
// may not start, or ErrWaiting if the request waits for a larger share; Resolve then decides it. In
// both cases nothing is charged. Each Charge must be settled once with Settle.
func (c *Core) Acquire(now time.Duration, request Request) (Charge, error) {
	if request.Limit.isUnlimited() {
		return Charge{}, nil
	}
	account, err := c.accountFor(now, request.Tenant, request.Limit)
	if err != nil {
		return Charge{}, err
	}
	account.fill(now, c.config.Burst)
	size := request.chargedTokens()
	account.demand.recordRequest(now, size, account.inFlight+account.waiting+1)
	if refusal := c.checkLimits(now, account, size, account.waitingTokens); refusal != nil {
		if !c.mayWait(now, account, refusal) {
			return Charge{}, refusal
		}
		c.enqueueWaiter(now, account, request)
		return Charge{}, ErrWaiting
	}
	return c.charge(account, request.Tenant, size), nil
}

func (c *Core) charge(account *account, tenant string, size float64) Charge {
	account.inFlight++
	if account.limit.TokensPerSecond != 0 {
		account.level -= size
	}
	account.demand.usedTokens += size
	return Charge{tenant: tenant, tokens: size}
}

// checkLimits returns why a request of this size may not start now, after the waiting requests before it, which take
// ahead tokens; nil if it may start.
func (c *Core) checkLimits(now time.Duration, account *account, size, ahead float64) *Refusal {
	if account.limit.Concurrency != 0 && account.inFlight >= account.shares.concurrency(now) {
		if account.shares.concurrency(now) == 0 {
			return &Refusal{Reason: ErrNoShare, RetryAfter: minimumRetryAfter}
		}
		return &Refusal{Reason: ErrConcurrencyLimit, RetryAfter: minimumRetryAfter}
	}
	if account.limit.TokensPerSecond == 0 {
		return nil
	}
	wait := account.tokenWait(now, c.config.Burst, size, ahead)
	switch {
	case wait < 0:
		return &Refusal{Reason: ErrNoShare, RetryAfter: minimumRetryAfter}
	case wait > 0:
		return &Refusal{Reason: ErrTokenLimit, RetryAfter: min(max(wait, minimumRetryAfter), maximumRetryAfter), wait: wait}
	default:
		return nil
	}
}

// Settle ends a charge and corrects it to the number of tokens used, 0 for a request that did not run.
func (c *Core) Settle(now time.Duration, charge Charge, used int) {
	account, found := c.accounts.Peek(charge.tenant)
	if !found {
		return
	}
	account.fill(now, c.config.Burst)
	account.inFlight = max(account.inFlight-1, 0)
	difference := float64(used) - charge.tokens
	account.demand.usedTokens = max(account.demand.usedTokens+difference, 0)
	if account.limit.TokensPerSecond != 0 {
		account.level = min(account.level-difference, account.capacity(now, c.config.Burst))
	}
}

// ApplyShares applies the shares that a controller granted in response to demands. sentAt must be
// the exact time at which the demands were returned, since leases start then. Shares of unknown
// tenants and shares older than those in use are ignored.
func (c *Core) ApplyShares(now, sentAt time.Duration, shares []*v1.Share) {
	for _, share := range shares {
		account, found := c.accounts.Peek(share.GetTenant())
		period := time.Duration(share.GetValidMs()) * time.Millisecond
		if !found || period <= 0 {
			continue
		}
		if sentAt+period < account.shares.granted.expiresAt {
			continue
		}
		account.fill(now, c.config.Burst)
		account.requested.recordAnswer(sentAt)
		account.shares.granted = lease{
			tokensPerSecond: float64(share.GetTokensPerSecond()),
			concurrency:     share.GetConcurrency(),
			expiresAt:       sentAt + period,
			period:          period,
		}
		account.level = min(account.level, account.capacity(now, c.config.Burst))
	}
}

// accountFor returns the account of a tenant, creating it if needed, and applies the limit.
func (c *Core) accountFor(now time.Duration, tenant string, limit Limit) (*account, error) {
	tenantAccount, exists := c.accounts.Get(tenant)
	if !exists {
		if err := c.evictIdleTenants(); err != nil {
			return nil, err
		}
		tenantAccount = c.newAccount(now, limit)
		c.accounts.Add(tenant, tenantAccount)
	}
	if tenantAccount.limit != limit {
		c.applyLimit(now, tenantAccount, limit)
	}
	return tenantAccount, nil
}

func (c *Core) newAccount(now time.Duration, limit Limit) *account {
	created := &account{limit: limit, filledAt: now}
	created.shares.initial = c.initialLease(now, limit)
	created.level = created.capacity(now, c.config.Burst)
	created.demand.windowStart = now
	return created
}

func (c *Core) initialLease(now time.Duration, limit Limit) lease {
	divisor := c.config.InitialDivisor
	initial := lease{
		tokensPerSecond: float64(limit.TokensPerSecond) / float64(divisor),
		concurrency:     limit.Concurrency / uint32(divisor),
		expiresAt:       now + c.config.LeasePeriod,
		period:          c.config.LeasePeriod,
	}
	if limit.Concurrency != 0 {
		initial.concurrency = max(initial.concurrency, 1)
	}
	return initial
}

// applyLimit applies a changed limit. The tenant gets a new initial share, and its granted share
// is capped at the limit.
func (c *Core) applyLimit(now time.Duration, account *account, limit Limit) {
	account.fill(now, c.config.Burst)
	account.limit = limit
	account.shares.initial = c.initialLease(now, limit)
	granted := &account.shares.granted
	granted.tokensPerSecond = min(granted.tokensPerSecond, float64(limit.TokensPerSecond))
	granted.concurrency = min(granted.concurrency, limit.Concurrency)
	account.level = min(account.level, account.capacity(now, c.config.Burst))
}

// evictIdleTenants removes the least recently used tenants without requests in flight or waiting
// until a new account fits. It returns a *Refusal if evictionProbes steps do not suffice.
func (c *Core) evictIdleTenants() error {
	for range evictionProbes {
		if c.accounts.Len() < c.config.Tenants {
			return nil
		}
		tenant, oldest, _ := c.accounts.GetOldest()
		if oldest.inFlight == 0 && oldest.waiting == 0 {
			c.accounts.Remove(tenant)
			continue
		}
		c.accounts.Get(tenant) // in use: mark it as recently used
	}
	return &Refusal{Reason: ErrTooManyTenants, RetryAfter: minimumRetryAfter}
}
