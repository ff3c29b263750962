package shares

import (
	"slices"
	"time"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
)

// lease is what one gateway wants and holds.
type lease struct {
	wantedTokens      uint64
	wantedConcurrency uint64
	// lastReportAt is when the gateway last asked.
	lastReportAt time.Duration
	// granted are the shares that may still be in use at the gateway, oldest first.
	granted []grant
	// countedTokens and countedConcurrency are its part of the tenant's sums.
	countedTokens      uint64
	countedConcurrency uint64
	// allocated is what the last division gave it; divided is false when there was none since
	// the gateway first asked.
	allocated     Limits
	hasAllocation bool
}

// grant is one share as granted.
type grant struct {
	tokens      uint64
	concurrency uint32
	expiresAt   time.Duration
}

// applyDemand takes over a gateway's demand.
func (l *lease) applyDemand(now time.Duration, demand *v1.ShareDemand) {
	l.wantedTokens = demand.WantedTokensPerSecond
	l.wantedConcurrency = uint64(max(demand.WantedConcurrency, demand.InFlight))
	l.lastReportAt = now
	l.acknowledge(now, demand)
}

// acknowledge forgets the grants that the gateway no longer uses: the ones before
// the newest that equals what it says it holds, and those that have run out.
func (l *lease) acknowledge(now time.Duration, demand *v1.ShareDemand) {
	l.granted = slices.DeleteFunc(l.granted, func(g grant) bool { return g.expiresAt <= now })
	for i := len(l.granted) - 1; i > 0; i-- {
		held := l.granted[i]
		if held.tokens == demand.HeldTokensPerSecond && held.concurrency == demand.HeldConcurrency {
			l.granted = slices.Clone(l.granted[i:])
			return
		}
	}
}

// maximumInUse is the most the gateway may still use.
func (l *lease) maximumInUse(now time.Duration) (tokens uint64, concurrency uint32) {
	for _, granted := range l.granted {
		if granted.expiresAt > now {
			tokens = max(tokens, granted.tokens)
			concurrency = max(concurrency, granted.concurrency)
		}
	}
	return tokens, concurrency
}
