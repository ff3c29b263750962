package limits

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
)

const tenant = "tenant"

var testLimit = Limit{TokensPerSecond: 128_000, Concurrency: 256}

func newTestCore(t require.TestingT, change ...func(*Config)) *Core {
	config := Config{}
	for _, apply := range change {
		apply(&config)
	}
	core, err := New(config)
	require.NoError(t, err)
	return core
}

// grant applies a share of four seconds that starts at sentAt.
func grant(core *Core, now, sentAt time.Duration, tokens uint64, concurrency uint32) {
	core.ApplyShares(now, sentAt, []*v1.Share{{Tenant: tenant, TokensPerSecond: tokens, Concurrency: concurrency, ValidMs: 4000}})
}

// setAtLimit makes the last granted share smaller than requested, so that the tenant is at its limit.
func setAtLimit(core *Core) {
	if account, met := core.accounts.Peek(tenant); met {
		account.requested.recordReport(0, 1_000_000, 1_000)
		account.requested.recordAnswer(0)
		if account.shares.granted.expiresAt < 105*time.Second {
			account.requested.recordReport(0, 1_000_000, 1_000) // no controller answers
		}
	}
}

// s is one second, for the tables of times. In TestAcquire each row prepares a core, and the last
// request of 1,000 tokens comes at 105 s. The controllers have no more to grant and no request waits
// for tokens, so a refusal is immediate.
const s = time.Second

// acquireTokens acquires tokens for the test's tenant and ignores errors.
func acquireTokens(core *Core, now time.Duration, tokens int) Charge {
	charge, _ := core.Acquire(now, Request{Tenant: tenant, Limit: testLimit, Tokens: tokens})
	return charge
}

// acquireRow prepares a core and states the expected result of a request of 1,000 tokens at 105 s.
type acquireRow struct {
	name   string
	before func(*Core)
	limit  Limit
	err    error
	retry  time.Duration
}

var acquireRows = []acquireRow{
	{name: "tenant without limits", before: func(*Core) {}, limit: Limit{}},
	{name: "new tenant", before: func(*Core) {}, limit: testLimit},
	{name: "initial tokens are used up", before: func(c *Core) { acquireTokens(c, 105*s, 1000) }, limit: testLimit, err: ErrTokenLimit, retry: s},
	{name: "initial concurrency is used up", limit: Limit{Concurrency: 5},
		before: func(c *Core) {
			_, _ = c.Acquire(105*s, Request{Tenant: tenant, Limit: Limit{Concurrency: 5}, Tokens: 1})
		}, err: ErrConcurrencyLimit, retry: s},
	{name: "a granted share allows more", limit: testLimit,
		before: func(c *Core) {
			acquireTokens(c, 103*s, 1000)
			grant(c, 103*s, 103*s, 64_000, 10)
			acquireTokens(c, 105*s, 60_000)
		}},
	{name: "a debt is paid off first", limit: testLimit, err: ErrTokenLimit, retry: 2 * s,
		before: func(c *Core) {
			acquireTokens(c, 104*s, 1)
			grant(c, 104*s, 104*s, 2000, 10)
			acquireTokens(c, 105*s, 5000)
		}},
	{name: "a charge that did not run is given back", limit: testLimit,
		before: func(c *Core) { c.Settle(105*s, acquireTokens(c, 105*s, 1000), 0) }},
	{name: "a charge that used more leaves a debt", limit: testLimit, err: ErrTokenLimit, retry: 4 * s,
		before: func(c *Core) { c.Settle(105*s, acquireTokens(c, 105*s, 1000), 4000) }},
	{name: "granted concurrency is used up", limit: testLimit, err: ErrConcurrencyLimit, retry: s,
		before: func(c *Core) {
			acquireTokens(c, 104*s, 1)
			grant(c, 104*s, 104*s, 64_000, 2)
			acquireTokens(c, 105*s, 1)
		}},
	{name: "cut off for two periods: a quarter is left", limit: testLimit, err: ErrTokenLimit, retry: s,
		before: func(c *Core) {
			acquireTokens(c, 93*s, 1)
			grant(c, 93*s, 93*s, 8000, 100) // ends at 97 s; 4,000 until 101 s, 2,000 until 105 s, then 1,000
			acquireTokens(c, 105*s, 1000)
		}},
	{name: "cut off for long: nothing is left", limit: testLimit, err: ErrNoShare, retry: s,
		before: func(c *Core) { acquireTokens(c, 40*s, 1); grant(c, 40*s, 40*s, 64_000, 100) }},
	{name: "nothing granted while the initial share lasts", limit: testLimit,
		before: func(c *Core) { acquireTokens(c, 103*s, 1); grant(c, 104*s, 104*s, 0, 0) }},
	{name: "nothing granted after the initial share", limit: testLimit, err: ErrNoShare, retry: s,
		before: func(c *Core) { acquireTokens(c, 40*s, 1); grant(c, 104*s, 104*s, 0, 0) }},
	{name: "an older grant does not replace a newer one", limit: testLimit,
		before: func(c *Core) {
			acquireTokens(c, 104*s, 1)
			grant(c, 104*s, 104*s, 64_000, 10)
			grant(c, 105*s, 103*s, 0, 0)
		}},
	{name: "a lowered limit holds at once", limit: Limit{TokensPerSecond: 1000}, err: ErrTokenLimit, retry: s,
		before: func(c *Core) {
			acquireTokens(c, 104*s, 1)
			grant(c, 104*s, 104*s, 64_000, 10)
			acquireTokens(c, 105*s, 63_500)
		}},
	{name: "grants to unknown tenants are ignored", limit: testLimit,
		before: func(c *Core) { grant(c, 104*s, 104*s, 0, 0) }},
}

func TestAcquire(t *testing.T) {
	for _, row := range acquireRows {
		t.Run(row.name, row.check)
	}
}

func (row acquireRow) check(t *testing.T) {
	core := newTestCore(t, func(c *Config) { c.LongestTokenWait = 1 })
	row.before(core)
	setAtLimit(core)
	_, err := core.Acquire(105*s, Request{ID: 7, Tenant: tenant, Limit: row.limit, Tokens: 1000})
	require.Zero(t, core.WaitingCount())
	if row.err == nil {
		require.NoError(t, err)
		return
	}
	var refusal *Refusal
	require.ErrorAs(t, err, &refusal)
	require.ErrorIs(t, err, row.err)
	require.Equal(t, row.retry, refusal.RetryAfter.Round(time.Millisecond))
}

func TestTenantsAreBounded(t *testing.T) {
	core := newTestCore(t, func(c *Config) { c.Tenants = 8 })
	for i := range 100 {
		charge, err := core.Acquire(0, Request{Tenant: fmt.Sprint("idle", i), Limit: testLimit, Tokens: 1})
		require.NoError(t, err)
		core.Settle(0, charge, 1)
	}
	require.Equal(t, 8, core.accounts.Len())
	for i := range 8 {
		_, err := core.Acquire(0, Request{Tenant: fmt.Sprint("busy", i), Limit: testLimit, Tokens: 1})
		require.NoError(t, err)
	}
	_, err := core.Acquire(0, Request{Tenant: "one too many", Limit: testLimit, Tokens: 1})
	require.ErrorIs(t, err, ErrTooManyTenants, "a tenant with requests in flight is never evicted")
	require.Equal(t, 8, core.accounts.Len())
}

func TestDemands(t *testing.T) {
	core := newTestCore(t, func(c *Config) { c.Demands = 2 })
	for _, name := range []string{"c", "a", "b"} {
		_, err := core.Acquire(0, Request{Tenant: name, Limit: testLimit, Tokens: 500})
		require.NoError(t, err)
	}
	_, err := core.Acquire(0, Request{Tenant: "a", Limit: testLimit, Tokens: 5000})
	require.Error(t, err)
	first := core.Demands(time.Second)
	require.Len(t, first, 2, "the size of a report is limited")
	require.Equal(t, "a", first[0].Tenant)
	require.Equal(t, uint64(500), first[0].UsedTokens)
	require.Equal(t, uint64(5500), first[0].WantedTokensPerSecond, "refused requests count as wanted")
	require.Equal(t, uint32(2), first[0].WantedConcurrency)
	require.Equal(t, "c", core.Demands(2 * time.Second)[1].Tenant, "reports rotate through the tenants")
	require.Zero(t, first[0].HeldTokensPerSecond, "the initial share was not granted")
}

// TestTokensStayWithinShares checks the bound at one gateway for random requests and grants: the
// tokens acquired up to any time stay within what the shares have yielded, one full bucket and one
// request.
func TestTokensStayWithinShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		core := newTestCore(t)
		const largest = 5000
		var now, last time.Duration
		var acquired, yielded, capacity float64
		var charges []Charge
		var id uint64
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 1500).Draw(t, "pause")) * time.Millisecond
			if account, met := core.accounts.Peek(tenant); met {
				yielded += account.shares.tokens(last, now)
				capacity = max(capacity, account.capacity(now, core.config.Burst))
			}
			last = now
			for _, decision := range core.Resolve(now) {
				if decision.Err == nil {
					charges = append(charges, decision.Charge)
					acquired += decision.Charge.tokens
				}
			}
			switch rapid.IntRange(0, 4).Draw(t, "action") {
			case 0:
				grant(core, now, now, uint64(rapid.IntRange(0, 20_000).Draw(t, "share")), 50)
			case 1:
				if len(charges) > 0 {
					core.Settle(now, charges[0], int(charges[0].tokens))
					charges = charges[1:]
				}
			default:
				tokens := rapid.IntRange(1, largest).Draw(t, "tokens")
				id++
				if charge, err := core.Acquire(now, Request{ID: id, Tenant: tenant, Limit: testLimit, Tokens: tokens}); err == nil {
					charges = append(charges, charge)
					acquired += float64(tokens)
				}
			}
			if account, met := core.accounts.Peek(tenant); met {
				capacity = max(capacity, account.capacity(now, core.config.Burst))
			}
			require.LessOrEqual(t, acquired, yielded+capacity+largest+1e-6)
		}
	})
}
