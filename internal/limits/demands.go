package limits

import (
	"math"
	"slices"
	"time"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
)

// Demands returns what to report to the controllers: tenants with limits that have
// asked for something lately, sorted by name, at most Config.Demands of them. When
// there are more, successive reports take turns.
func (c *Core) Demands(now time.Duration) []*v1.ShareDemand {
	return c.reports(now, c.demandingTenants(now))
}

func (c *Core) reports(now time.Duration, tenants []string) []*v1.ShareDemand {
	demands := make([]*v1.ShareDemand, 0, len(tenants))
	for _, tenant := range tenants {
		account, _ := c.accounts.Peek(tenant)
		demands = append(demands, account.report(now, tenant))
	}
	return demands
}

// demandingTenants picks the tenants of the next report.
func (c *Core) demandingTenants(now time.Duration) []string {
	var tenants []string
	for _, tenant := range c.accounts.Keys() {
		account, _ := c.accounts.Peek(tenant)
		if account.inFlight > 0 || account.waiting > 0 || now-account.demand.lastAt < idleAfter {
			tenants = append(tenants, tenant)
		}
	}
	slices.Sort(tenants)
	if len(tenants) <= c.config.Demands {
		return tenants
	}
	start, _ := slices.BinarySearch(tenants, c.reportFrom)
	turned := slices.Concat(tenants[start:], tenants[:start])
	c.reportFrom = turned[c.config.Demands]
	turned = turned[:c.config.Demands]
	slices.Sort(turned)
	return turned
}

// report tells one tenant's demand and starts the next report.
func (a *account) report(now time.Duration, tenant string) *v1.ShareDemand {
	message := &v1.ShareDemand{
		Tenant:                tenant,
		UsedTokens:            uint64(math.Round(a.demand.used)),
		WantedTokensPerSecond: uint64(math.Ceil(a.demand.wanted(now))),
		InFlight:              uint32(a.inFlight),
		WantedConcurrency:     uint32(max(a.demand.peak, a.inFlight+a.waiting)),
	}
	if granted := &a.shares.granted; now < granted.expiresAt {
		message.HeldTokensPerSecond = uint64(granted.tokensPerSecond)
		message.HeldConcurrency = granted.concurrency
	}
	a.demand.used, a.demand.peak = 0, 0
	a.asked.report(now, message.WantedTokensPerSecond, message.WantedConcurrency)
	return message
}
