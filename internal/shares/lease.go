package shares

import (
	"slices"
	"time"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
)

// lease is the demand of one gateway for one tenant and the shares granted to it.
type lease struct {
	wantedTokens      uint64
	wantedConcurrency uint64
	// lastReportAt is the time of the gateway's last report.
	lastReportAt time.Duration
	// granted are the shares that may still be in use at the gateway, oldest first.
	granted []grant
	// countedTokens and countedConcurrency are the amounts of this lease that are included in the tenant's sums.
	countedTokens      uint64
	countedConcurrency uint64
	// allocated is the gateway's part in the last division; hasAllocation is false if there has been
	// no division since the gateway's first report.
	allocated     Limits
	hasAllocation bool
}

// grant is one granted share.
type grant struct {
	tokens      uint64
	concurrency uint32
	expiresAt   time.Duration
}

// applyDemand records a gateway's demand.
func (l *lease) applyDemand(now time.Duration, demand *v1.ShareDemand) {
	l.wantedTokens = demand.WantedTokensPerSecond
	l.wantedConcurrency = uint64(max(demand.WantedConcurrency, demand.InFlight))
	l.lastReportAt = now
	l.acknowledge(now, demand)
}

// acknowledge deletes the grants that the gateway no longer uses: the expired ones and those
// older than the newest grant that equals what the gateway reports to hold.
func (l *lease) acknowledge(now time.Duration, demand *v1.ShareDemand) {
	l.granted = slices.DeleteFunc(l.granted, func(g grant) bool { return g.expiresAt <= now })
	for i := len(l.granted) - 1; i > 0; i-- {
		candidate := l.granted[i]
		if candidate.tokens == demand.HeldTokensPerSecond && candidate.concurrency == demand.HeldConcurrency {
			l.granted = slices.Clone(l.granted[i:])
			return
		}
	}
}

// maximumInUse returns the largest share that the gateway may still use.
func (l *lease) maximumInUse(now time.Duration) (tokens uint64, concurrency uint32) {
	for _, granted := range l.granted {
		if granted.expiresAt > now {
			tokens = max(tokens, granted.tokens)
			concurrency = max(concurrency, granted.concurrency)
		}
	}
	return tokens, concurrency
}
