package returnplan

import "time"

const (
	// DefaultSpan is the span of time for which returns are planned together: shorter than the time that a slot is in
	// use at most services, and long enough that several slots come free in it.
	DefaultSpan = 50 * time.Millisecond
	// earlyTolerance is how long before its time a client may return: the resolution of clients' timers.
	earlyTolerance = 20 * time.Millisecond
	// lateTolerance is how long after its time a client may return: a round trip between regions.
	lateTolerance = 250 * time.Millisecond
	// horizon is how far ahead promises are made. Few clients wait longer, and the capacity is not known so far ahead.
	horizon = 30 * time.Second
	// maximumExpected limits the expected time until a slot is free; an estimate beyond it is not meaningful.
	maximumExpected = 10 * time.Minute
	// catchUpShare is the fraction by which more is reserved for callers that come first than their estimated demand.
	// The estimate lags behind a change of the load, and meanwhile other callers are promised their slots; the extra
	// share lets them catch up within a few seconds. Newcomers use the slots that are not promised.
	catchUpShare = 1.0 / 8
	// sweepInterval is the minimum time between two scans of a table for idle entries.
	sweepInterval = time.Second
	// unknownSignature is the signature of a request that is not recognised when its client returns.
	unknownSignature = 0
)

// Plan holds the promises for one service.
type Plan struct {
	span     time.Duration
	promises *promiseTable
	tenants  *tenants
	demand   demandByRank
	refusals *refusals
	// changes are those that Changes has not returned yet.
	changes []Change
}

// New returns an empty Plan with spans of this length; 0 selects DefaultSpan.
func New(span time.Duration) *Plan {
	if span <= 0 {
		span = DefaultSpan
	}
	return &Plan{span: span, promises: newPromiseTable(), tenants: newTenants(), refusals: newRefusals()}
}

// Promise returns when a refused client is to return. promised is true if a slot is set aside for it then, at latest at
// the time latest; otherwise at is the expected time at which a slot is free. draw is a random number in [0, 1) that
// spreads returns within a span.
func (p *Plan) Promise(now time.Duration, caller Caller, capacity Room, latest time.Duration, draw float64) (at time.Duration, promised bool) {
	p.Expire(now)
	capacity = capacity.bounded()
	caller.Level = boundedLevel(caller.Level)
	request := p.newPromiseRequest(now, caller)
	start, found := p.newSearch(request, capacity).firstSpan()
	switch {
	case !found:
		at = max(p.servedAt(now, capacity), request.notBefore) + spread(p.span, draw)
	case start > latest || caller.Signature == unknownSignature || !p.promises.canAdd(caller.Signature):
		at = start + spread(p.span, draw)
	default:
		at, promised = start+spread(min(p.span, latest-start), draw), true
		p.add(request, capacity, at)
	}
	p.refusals.record(caller.Signature, request.FirstRefusedAt, at)
	return at, promised
}

// newPromiseRequest returns the request of a caller. A caller that returns before the time that it was given, or whose
// signature already has a promise, is not counted in the demand and ranks as one that was not refused before.
func (p *Plan) newPromiseRequest(now time.Duration, caller Caller) *promiseRequest {
	account := p.tenants.account(caller.Level, caller.Tenant)
	last, known := p.refusals.find(now, caller.Signature)
	if known {
		caller.FirstRefusedAt = min(caller.FirstRefusedAt, last.firstAt)
	}
	var rank rank
	if last.isEarly(now) || len(p.promises.bySignature[caller.Signature]) > 0 {
		rank = rankOf(caller.Level, 0)
	} else {
		rank = rankOf(caller.Level, now-caller.FirstRefusedAt)
		p.demand[rank].record(now)
		account.demand.record(now)
	}
	notBefore := max(account.nextAt[rank.step()].Truncate(p.span), p.notBefore(caller))
	if last.isEarly(now) {
		notBefore = max(notBefore, last.returnAt)
	}
	return &promiseRequest{Caller: caller, now: now, account: account, rank: rank, notBefore: notBefore}
}

// notBefore returns the earliest time of a further promise for a signature that has one already; 0 if it has none.
func (p *Plan) notBefore(caller Caller) time.Duration {
	own := p.promises.bySignature[caller.Signature]
	if len(own) == 0 {
		return 0
	}
	others := p.promises.latestOfOthers(caller.Level, caller.Signature)
	return max(own[len(own)-1].DueAt+p.span, others+1)
}

// add makes a promise.
func (p *Plan) add(request *promiseRequest, capacity Room, at time.Duration) {
	promise := Promise{Signature: request.Signature, Tenant: request.Tenant, Level: request.Level, DueAt: at}
	p.promises.add(&entry{Promise: promise, rank: request.rank, account: request.account})
	forLevel := capacity.PerSecond - p.demand.before(request.now, firstRank(request.Level))
	request.account.charge(request.now, request.rank.step(), request.account.level.fairRate(request.now, p.span, forLevel*(1-catchUpShare)))
	p.recordChange(Change{Promise: promise})
}

// newSearch returns the search for a span with a free slot for the request.
func (p *Plan) newSearch(request *promiseRequest, capacity Room) *search {
	result := &search{
		now: request.now, span: p.span, capacity: capacity, rank: request.rank, notBefore: request.notBefore,
		urgentPerSecond: p.demand.before(request.now, request.rank) * (1 + catchUpShare),
		entries:         p.promises.byTime[indexAt(p.promises.byTime, request.now.Truncate(p.span)):],
	}
	if request.account.exceedsEqualShare() {
		result.reservedPerSecond = capacity.PerSecond * catchUpShare
	}
	return result
}

// servedAt returns when everything that is queued or promised now will have been served.
func (p *Plan) servedAt(now time.Duration, capacity Room) time.Duration {
	if capacity.PerSecond == 0 {
		return now + horizon
	}
	seconds := float64(capacity.Backlog+len(p.promises.byTime)+1) / capacity.PerSecond
	return now + time.Duration(min(seconds, maximumExpected.Seconds())*float64(time.Second))
}

// spread returns a time from 0 to less than the interval by a random number in [0, 1).
func spread(interval time.Duration, draw float64) time.Duration {
	return max(min(time.Duration(draw*float64(interval)), interval-1), 0)
}

// Redeem redeems the earliest promise for the signature if it is due now. If due is false, promise is the earliest
// promise that is due later; the zero Promise if there is none.
func (p *Plan) Redeem(now time.Duration, signature uint64) (promise Promise, due bool) {
	p.Expire(now)
	own := p.promises.bySignature[signature]
	if len(own) == 0 {
		return Promise{}, false
	}
	first := own[0]
	if first.DueAt > now+earlyTolerance {
		return first.Promise, false
	}
	p.promises.remove(first)
	p.recordChange(Change{Promise: first.Promise, Redeemed: true})
	return first.Promise, true
}

// DueUntil returns the number of promises that may be redeemed up to the given time: the slots to keep free for
// returns.
func (p *Plan) DueUntil(now, until time.Duration) int {
	p.Expire(now)
	return indexAt(p.promises.byTime, until+1)
}

// Expire drops the promises that were not redeemed in time. The other methods do this themselves.
func (p *Plan) Expire(now time.Duration) {
	p.promises.removeDueBefore(now - lateTolerance)
	p.tenants.sweep(now)
	p.refusals.sweep(now)
}
