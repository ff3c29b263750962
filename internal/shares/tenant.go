package shares

import (
	"slices"
	"time"
)

// divideInterval is how long a division of a tenant's limits among its gateways is used
// again. Dividing takes all of the tenant's gateways, a report only one; without the
// interval the work grows with the square of the gateways.
const divideInterval = 250 * time.Millisecond

// tenant holds the leases of one tenant, by gateway.
type tenant struct {
	leases   map[string]*lease
	gateways []string // of the gateways, sorted
	// heldTokens and heldConcurrency sum what the leases are counted with: never less
	// than what the gateways may still use.
	heldTokens      uint64
	heldConcurrency uint64
	// divided tells that there has been a division.
	divided   bool
	dividedAt time.Duration
	limits    Limits
	// largestAllocation is the largestAllocation part of the last division.
	largestAllocation Limits
	// divisions counts the divisions, each of which takes all gateways.
	divisions int
}

// add makes the lease of a gateway that has not asked before.
func (t *tenant) add(gateway string) *lease {
	created := &lease{}
	t.leases[gateway] = created
	position, _ := slices.BinarySearch(t.gateways, gateway)
	t.gateways = slices.Insert(t.gateways, position, gateway)
	return created
}

// updateSums brings a lease's part of the sums up to now.
func (t *tenant) updateSums(now time.Duration, l *lease) {
	tokens, concurrency := l.maximumInUse(now)
	t.heldTokens += tokens - l.countedTokens
	t.heldConcurrency += uint64(concurrency) - l.countedConcurrency
	l.countedTokens, l.countedConcurrency = tokens, uint64(concurrency)
}

// dropInactive forgets the gateways that have not asked for a lifetime: all they held
// has run out. It returns their number.
func (t *tenant) dropInactive(now, lifetime time.Duration) int {
	kept := slices.DeleteFunc(t.gateways, func(name string) bool {
		l := t.leases[name]
		if now-l.lastReportAt < lifetime {
			return false
		}
		t.heldTokens -= l.countedTokens
		t.heldConcurrency -= l.countedConcurrency
		delete(t.leases, name)
		return true
	})
	dropped := len(t.gateways) - len(kept)
	t.gateways = kept
	return dropped
}

// needsDivision reports whether the last division no longer holds.
func (t *tenant) needsDivision(now time.Duration, limits Limits) bool {
	return !t.divided || t.limits != limits || now-t.dividedAt >= divideInterval
}

// divide works out every gateway's part when all that ask are served by demand.
func (t *tenant) divide(now time.Duration, limits Limits) {
	t.divided, t.dividedAt, t.limits = true, now, limits
	t.divisions++
	tokens := make([]uint64, len(t.gateways))
	concurrency := make([]uint64, len(t.gateways))
	for i, name := range t.gateways {
		l := t.leases[name]
		t.updateSums(now, l)
		tokens[i], concurrency[i] = l.wantedTokens, l.wantedConcurrency
	}
	tokens, concurrency = split(limits.TokensPerSecond, tokens), split(uint64(limits.Concurrency), concurrency)
	t.largestAllocation = Limits{}
	for i, name := range t.gateways {
		part := Limits{TokensPerSecond: tokens[i], Concurrency: uint32(concurrency[i])}
		t.leases[name].allocated, t.leases[name].hasAllocation = part, true
		t.largestAllocation.TokensPerSecond = max(t.largestAllocation.TokensPerSecond, part.TokensPerSecond)
		t.largestAllocation.Concurrency = max(t.largestAllocation.Concurrency, part.Concurrency)
	}
}

// maximumShare is a gateway's part. One that is new since the last division, or wants more than
// it did then, may have as much as the best served until the next.
func (t *tenant) maximumShare(l *lease) Limits {
	if !l.hasAllocation {
		return t.largestAllocation
	}
	return Limits{
		TokensPerSecond: max(l.allocated.TokensPerSecond, min(l.wantedTokens, t.largestAllocation.TokensPerSecond)),
		Concurrency:     max(l.allocated.Concurrency, uint32(min(l.wantedConcurrency, uint64(t.largestAllocation.Concurrency)))),
	}
}
