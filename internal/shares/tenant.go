package shares

import (
	"slices"
	"time"
)

// divideInterval is how long a division of a tenant's limits among its gateways is reused. A division
// visits all gateways of the tenant while a report concerns only one; without the interval the work
// would grow with the square of the number of gateways.
const divideInterval = 250 * time.Millisecond

// tenant holds the leases of one tenant by gateway.
type tenant struct {
	leases   map[string]*lease
	gateways []string // names, sorted
	// heldTokens and heldConcurrency are the sums of the counted amounts of the leases. They are never
	// less than what the gateways may still use.
	heldTokens      uint64
	heldConcurrency uint64
	// divided is true if there has been a division.
	divided   bool
	dividedAt time.Duration
	limits    Limits
	// largestAllocation is the largest part that a gateway got in the last division.
	largestAllocation Limits
	// divisions counts the divisions, each of which visits all gateways.
	divisions int
}

// add creates the lease of a gateway.
func (t *tenant) add(gateway string) *lease {
	created := &lease{}
	t.leases[gateway] = created
	position, _ := slices.BinarySearch(t.gateways, gateway)
	t.gateways = slices.Insert(t.gateways, position, gateway)
	return created
}

// updateSums updates heldTokens and heldConcurrency with what a lease may have in use now.
func (t *tenant) updateSums(now time.Duration, l *lease) {
	tokens, concurrency := l.maximumInUse(now)
	t.heldTokens += tokens - l.countedTokens
	t.heldConcurrency += uint64(concurrency) - l.countedConcurrency
	l.countedTokens, l.countedConcurrency = tokens, uint64(concurrency)
}

// dropInactive deletes the gateways that have not reported for a lifetime, since everything that
// they held has expired. It returns their number.
func (t *tenant) dropInactive(now, lifetime time.Duration) int {
	remaining := slices.DeleteFunc(t.gateways, func(name string) bool {
		l := t.leases[name]
		if now-l.lastReportAt < lifetime {
			return false
		}
		t.heldTokens -= l.countedTokens
		t.heldConcurrency -= l.countedConcurrency
		delete(t.leases, name)
		return true
	})
	dropped := len(t.gateways) - len(remaining)
	t.gateways = remaining
	return dropped
}

// needsDivision reports whether the last division is no longer valid.
func (t *tenant) needsDivision(now time.Duration, limits Limits) bool {
	return !t.divided || t.limits != limits || now-t.dividedAt >= divideInterval
}

// divide computes the part of every gateway from its demand.
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

// maximumShare returns the most that a gateway may get until the next division. A gateway that is
// new or wants more since the last division may get as much as the largest part of that division.
func (t *tenant) maximumShare(l *lease) Limits {
	if !l.hasAllocation {
		return t.largestAllocation
	}
	return Limits{
		TokensPerSecond: max(l.allocated.TokensPerSecond, min(l.wantedTokens, t.largestAllocation.TokensPerSecond)),
		Concurrency:     max(l.allocated.Concurrency, uint32(min(l.wantedConcurrency, uint64(t.largestAllocation.Concurrency)))),
	}
}
