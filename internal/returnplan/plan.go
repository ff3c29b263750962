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
	// maximumExpected limits the expected time until there is room, beyond which the rate says nothing.
	maximumExpected = 10 * time.Minute
	// catchUpShare is how much more of the room is left to callers that come first than they ask for: until a change of
	// the load is known others are promised their places, and with an eighth more they catch up within a few seconds.
	// Newcomers use what nobody is promised.
	catchUpShare = 1.0 / 8
	// sweepInterval limits the time spent on looking for idle entries of tables.
	sweepInterval = time.Second
	// unknownSignature is the signature of a request that is not recognised when its client returns.
	unknownSignature = 0
)

// Plan holds the promises for one service.
type Plan struct {
	span     time.Duration
	book     *book
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
	return &Plan{span: span, book: newBook(), tenants: newTenants(), refusals: newRefusals()}
}

// Promise returns when a refused client is to return. promised is true if a slot is set aside for it then, at latest at
// the time latest; otherwise at is the expected time at which there is room. draw is a random number in [0, 1) that
// spreads returns within a span.
func (p *Plan) Promise(now time.Duration, caller Caller, room Room, latest time.Duration, draw float64) (at time.Duration, promised bool) {
	p.Expire(now)
	room = room.bounded()
	caller.Level = boundedLevel(caller.Level)
	question := p.newQuestion(now, caller)
	start, found := p.newSearch(question, room).firstSpan()
	switch {
	case !found:
		at = max(p.servedAt(now, room), question.notBefore) + spread(p.span, draw)
	case start > latest || caller.Signature == unknownSignature || !p.book.hasSpace(caller.Signature):
		at = start + spread(p.span, draw)
	default:
		at, promised = start+spread(min(p.span, latest-start), draw), true
		p.add(question, room, at)
	}
	p.refusals.record(caller.Signature, question.FirstRefusedAt, at)
	return at, promised
}

// newQuestion returns the question of a caller. The demand of a caller that returns earlier than it was told, or whose
// signature has a promise already, is not counted, and it ranks as one that was not refused before.
func (p *Plan) newQuestion(now time.Duration, caller Caller) *question {
	account := p.tenants.account(caller.Level, caller.Tenant)
	last, known := p.refusals.find(now, caller.Signature)
	if known {
		caller.FirstRefusedAt = min(caller.FirstRefusedAt, last.firstAt)
	}
	var rank rank
	if last.isEarly(now) || len(p.book.bySignature[caller.Signature]) > 0 {
		rank = rankOf(caller.Level, 0)
	} else {
		rank = rankOf(caller.Level, now-caller.FirstRefusedAt)
		p.demand[rank].record(now)
		account.demand.record(now)
	}
	notBefore := max(account.nextAt[rank.step()].Truncate(p.span), p.notBefore(caller))
	if last.isEarly(now) {
		notBefore = max(notBefore, last.toldAt)
	}
	return &question{Caller: caller, now: now, account: account, rank: rank, notBefore: notBefore}
}

// notBefore returns the earliest time of a further promise for a signature that has one already; 0 if it has none.
func (p *Plan) notBefore(caller Caller) time.Duration {
	own := p.book.bySignature[caller.Signature]
	if len(own) == 0 {
		return 0
	}
	others := p.book.latestOfOthers(caller.Level, caller.Signature)
	return max(own[len(own)-1].DueAt+p.span, others+1)
}

// add makes a promise.
func (p *Plan) add(q *question, room Room, at time.Duration) {
	promise := Promise{Signature: q.Signature, Tenant: q.Tenant, Level: q.Level, DueAt: at}
	p.book.add(&entry{Promise: promise, rank: q.rank, account: q.account})
	forLevel := room.PerSecond - p.demand.before(q.now, firstRank(q.Level))
	q.account.charge(q.now, q.rank.step(), q.account.level.fairRate(q.now, p.span, forLevel*(1-catchUpShare)))
	p.recordChange(Change{Promise: promise})
}

// newSearch returns the search for a place.
func (p *Plan) newSearch(q *question, room Room) *search {
	result := &search{
		now: q.now, span: p.span, room: room, rank: q.rank, notBefore: q.notBefore,
		urgentPerSecond: p.demand.before(q.now, q.rank) * (1 + catchUpShare),
		entries:         p.book.byTime[indexAt(p.book.byTime, q.now.Truncate(p.span)):],
	}
	if q.account.exceedsEqualPart() {
		result.reservedPerSecond = room.PerSecond * catchUpShare
	}
	return result
}

// servedAt returns when everything that is queued or promised now will have been served.
func (p *Plan) servedAt(now time.Duration, room Room) time.Duration {
	if room.PerSecond == 0 {
		return now + horizon
	}
	seconds := float64(room.Backlog+len(p.book.byTime)+1) / room.PerSecond
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
	own := p.book.bySignature[signature]
	if len(own) == 0 {
		return Promise{}, false
	}
	earliest := own[0]
	if earliest.DueAt > now+earlyTolerance {
		return earliest.Promise, false
	}
	p.book.remove(earliest)
	p.recordChange(Change{Promise: earliest.Promise, Redeemed: true})
	return earliest.Promise, true
}

// DueUntil returns the number of promises that may be redeemed until then: the slots to keep free for returns.
func (p *Plan) DueUntil(now, until time.Duration) int {
	p.Expire(now)
	return indexAt(p.book.byTime, until+1)
}

// Expire drops the promises that were not redeemed in time. The other methods do this themselves.
func (p *Plan) Expire(now time.Duration) {
	p.book.removeDueBefore(now - lateTolerance)
	p.tenants.sweep(now)
	p.refusals.sweep(now)
}
