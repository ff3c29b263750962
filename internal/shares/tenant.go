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
	leases map[string]*lease
	names  []string // of the gateways, sorted
	// heldTokens and heldConcurrency sum what the leases are counted with: never less
	// than what the gateways may still use.
	heldTokens      uint64
	heldConcurrency uint64
	// divided tells that there has been a division.
	divided   bool
	dividedAt time.Duration
	limits    Limits
	// largest is the largest part of the last division.
	largest Limits
	// divisions counts the divisions, each of which takes all gateways.
	divisions int
}

// add makes the lease of a gateway that has not asked before.
func (t *tenant) add(gateway string) *lease {
	created := &lease{}
	t.leases[gateway] = created
	position, _ := slices.BinarySearch(t.names, gateway)
	t.names = slices.Insert(t.names, position, gateway)
	return created
}

// count brings a lease's part of the sums up to now.
func (t *tenant) count(now time.Duration, l *lease) {
	tokens, concurrency := l.held(now)
	t.heldTokens += tokens - l.countedTokens
	t.heldConcurrency += uint64(concurrency) - l.countedConcurrency
	l.countedTokens, l.countedConcurrency = tokens, uint64(concurrency)
}

// dropSilent forgets the gateways that have not asked for a lifetime: all they held
// has run out. It returns their number.
func (t *tenant) dropSilent(now, lifetime time.Duration) int {
	kept := slices.DeleteFunc(t.names, func(name string) bool {
		l := t.leases[name]
		if now-l.heardAt < lifetime {
			return false
		}
		t.heldTokens -= l.countedTokens
		t.heldConcurrency -= l.countedConcurrency
		delete(t.leases, name)
		return true
	})
	dropped := len(t.names) - len(kept)
	t.names = kept
	return dropped
}

// mustDivide reports whether the last division no longer holds.
func (t *tenant) mustDivide(now time.Duration, limits Limits) bool {
	return !t.divided || t.limits != limits || now-t.dividedAt >= divideInterval
}

// divide works out every gateway's part when all that ask are served by demand.
func (t *tenant) divide(now time.Duration, limits Limits) {
	t.divided, t.dividedAt, t.limits = true, now, limits
	t.divisions++
	tokens := make([]uint64, len(t.names))
	concurrency := make([]uint64, len(t.names))
	for i, name := range t.names {
		l := t.leases[name]
		t.count(now, l)
		tokens[i], concurrency[i] = l.wantedTokens, l.wantedConcurrency
	}
	tokens, concurrency = split(limits.TokensPerSecond, tokens), split(uint64(limits.Concurrency), concurrency)
	t.largest = Limits{}
	for i, name := range t.names {
		part := Limits{TokensPerSecond: tokens[i], Concurrency: uint32(concurrency[i])}
		t.leases[name].part, t.leases[name].divided = part, true
		t.largest.TokensPerSecond = max(t.largest.TokensPerSecond, part.TokensPerSecond)
		t.largest.Concurrency = max(t.largest.Concurrency, part.Concurrency)
	}
}

// fair is a gateway's part. One that is new since the last division, or wants more than
// it did then, may have as much as the best served until the next.
func (t *tenant) fair(l *lease) Limits {
	if !l.divided {
		return t.largest
	}
	return Limits{
		TokensPerSecond: max(l.part.TokensPerSecond, min(l.wantedTokens, t.largest.TokensPerSecond)),
		Concurrency:     max(l.part.Concurrency, uint32(min(l.wantedConcurrency, uint64(t.largest.Concurrency)))),
	}
}
