package returnplan

import (
	"math"
	"slices"
	"time"
)

// levelTenants are the tenants with callers of one level.
type levelTenants struct {
	accounts map[uint64]*account
	// outstanding is the sum over the accounts.
	outstanding int
	// lastFairRate is the result of the last computation, at computedAt.
	lastFairRate float64
	computedAt   time.Duration
}

func newLevelTenants() *levelTenants {
	return &levelTenants{accounts: map[uint64]*account{}, lastFairRate: math.Inf(1)}
}

// fairRate returns how many promises per second a tenant of the level may get; +Inf if there is only one tenant or if
// their total demand does not exceed perSecond. The result is recomputed only once per span, since the time it takes is
// proportional to the number of tenants.
func (l *levelTenants) fairRate(now, span time.Duration, perSecond float64) float64 {
	if len(l.accounts) == 1 {
		return math.Inf(1)
	}
	if now-l.computedAt >= span {
		demands := make([]float64, 0, len(l.accounts))
		for _, each := range l.accounts {
			demands = append(demands, each.demand.at(now))
		}
		l.lastFairRate, l.computedAt = fairRate(perSecond, demands), now
	}
	return l.lastFairRate
}

// fairRate divides a rate by demand: a tenant whose demand is less than an equal share gets its demand, and the
// others divide the rest equally. It returns the share of those others; +Inf if there are none.
func fairRate(perSecond float64, demands []float64) float64 {
	slices.Sort(demands)
	for i, each := range demands {
		equal := max(perSecond, 0) / float64(len(demands)-i)
		if each > equal {
			return equal
		}
		perSecond -= each
	}
	return math.Inf(1)
}
