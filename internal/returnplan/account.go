package returnplan

import (
	"slices"
	"time"
)

// account is what the plan knows of one tenant at one level.
type account struct {
	level  *levelTenants
	demand demand
	// outstanding is the number of promises that are neither redeemed nor expired.
	outstanding int
	// nextAt is the earliest time of the tenant's next promise, by step of waiting time: promises of a tenant whose
	// demand exceeds its fair share are spaced at its share, and callers that have waited longer come first.
	nextAt [ranksPerLevel]time.Duration
}

// charge records a promise to a caller of a tenant whose fair share is this rate; +Inf if its demand is less
// than its share.
func (a *account) charge(now time.Duration, step int, fairRate float64) {
	spacing := horizon
	if fairRate > 0 {
		spacing = time.Duration(min(float64(time.Second)/fairRate, float64(horizon)))
	}
	for i := step; i < ranksPerLevel; i++ {
		a.nextAt[i] = min(max(a.nextAt[i], now)+spacing, now+horizon)
	}
}

// addOutstanding counts promises that were made, or with a negative count redeemed or expired.
func (a *account) addOutstanding(count int) {
	a.outstanding += count
	a.level.outstanding += count
}

// exceedsEqualShare reports whether the tenant has more than an equal share of the level's promises.
func (a *account) exceedsEqualShare() bool {
	return a.outstanding*len(a.level.accounts) > a.level.outstanding
}

// isIdle reports whether the account no longer differs from a new one.
func (a *account) isIdle(now time.Duration) bool {
	return a.outstanding == 0 && slices.Max(a.nextAt[:]) <= now && now-a.demand.updatedAt > accountRetention
}
