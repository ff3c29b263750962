package limits

import (
	"math"
	"slices"
	"time"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
)

// Demands returns the report to the controllers: the recently active tenants with limits, sorted
// by name, at most Config.Demands of them. If there are more, successive reports rotate through them.
func (c *Core) Demands(now time.Duration) []*v1.ShareDemand {
	return c.buildReports(now, c.tenantsToReport(now))
}

func (c *Core) buildReports(now time.Duration, tenants []string) []*v1.ShareDemand {
	demands := make([]*v1.ShareDemand, 0, len(tenants))
	for _, tenant := range tenants {
		account, _ := c.accounts.Peek(tenant)
		demands = append(demands, account.buildReport(now, tenant))
	}
	return demands
}

// tenantsToReport returns the tenants of the next report.
func (c *Core) tenantsToReport(now time.Duration) []string {
	var tenants []string
	for _, tenant := range c.accounts.Keys() {
		account, _ := c.accounts.Peek(tenant)
		if account.inFlight > 0 || account.waiting > 0 || now-account.demand.lastRequestAt < idleAfter {
			tenants = append(tenants, tenant)
		}
	}
	slices.Sort(tenants)
	if len(tenants) <= c.config.Demands {
		return tenants
	}
	start, _ := slices.BinarySearch(tenants, c.nextReportStart)
	rotated := slices.Concat(tenants[start:], tenants[:start])
	c.nextReportStart = rotated[c.config.Demands]
	rotated = rotated[:c.config.Demands]
	slices.Sort(rotated)
	return rotated
}

// buildReport returns one tenant's demand and resets the counts for the next report.
func (a *account) buildReport(now time.Duration, tenant string) *v1.ShareDemand {
	message := &v1.ShareDemand{
		Tenant:                tenant,
		UsedTokens:            uint64(math.Round(a.demand.usedTokens)),
		WantedTokensPerSecond: uint64(math.Ceil(a.demand.wantedRate(now))),
		InFlight:              uint32(a.inFlight),
		WantedConcurrency:     uint32(max(a.demand.peakConcurrency, a.inFlight+a.waiting)),
	}
	if granted := &a.shares.granted; now < granted.expiresAt {
		message.HeldTokensPerSecond = uint64(granted.tokensPerSecond)
		message.HeldConcurrency = granted.concurrency
	}
	a.demand.usedTokens, a.demand.peakConcurrency = 0, 0
	a.requested.recordReport(now, message.WantedTokensPerSecond, message.WantedConcurrency)
	return message
}
