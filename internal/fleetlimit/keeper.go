package fleetlimit

import (
	"cmp"
	"slices"
	"time"

	"github.com/hazelpitch/hazelpitch/internal/backpressure"
)

const (
	// leastRate is the rate at which permits are granted at least, in requests a second: a back end that is sent nothing
	// cannot say that its need has ended. One request in windowSpan is within what it tolerates beyond any limit.
	leastRate = 0.25
	// spare is what a bucket holds beside a quarter of a second's requests, in requests: asks come at random times, and
	// without room for some of them a part of the limit would be left out. mostSpare bounds that quarter.
	spare     = 2
	mostSpare = 2
	// spareSeconds is the time whose requests a bucket holds, in seconds.
	spareSeconds = 0.25
	// standInSpare is what the bucket of a process holds that does not grant the whole limit.
	standInSpare = 1
	// liftedMemory is how long it is remembered that a back end names no limit any more; forgottenAfter how long one is
	// kept for which nobody asks.
	liftedMemory   = 10 * time.Second
	forgottenAfter = 5 * time.Minute
	// asksPerSecond is how often a back end's count is asked for at most, beside asksPerPermit times for each request
	// that the limit allows: the more processes ask, the longer each waits until it asks again.
	asksPerSecond = 20
	asksPerPermit = 4
	// longestWait bounds that.
	longestWait = windowSpan
	// waitJitter is the part by which waits differ, so that processes do not ask at once.
	waitJitter = 0.25
	// mostAskers bounds the processes that are remembered for one back end.
	mostAskers = 4096
)

// LimitCounters keeps the counts of back ends that name limits, and grants permits. It is not safe for concurrent use.
type LimitCounters struct {
	counts map[uint64]*count
}

// count is what is kept for one back end.
type count struct {
	limit  backpressure.Limit
	bucket bucket
	window window
	order  order
	// changedAt is when the limit changed, askedAt when somebody asked last, askedSince since when that goes on.
	changedAt, askedAt, askedSince time.Duration
	// askers are the processes that have asked, and when.
	askers map[uint64]time.Duration
}

// NewLimitCounters returns a Keeper that knows of no limit.
func NewLimitCounters() *LimitCounters { return &LimitCounters{counts: map[uint64]*count{}} }

// SetLimit takes the limit that a back end names, the zero value for none. It reports whether that is news.
func (k *LimitCounters) SetLimit(now time.Duration, backEnd uint64, limit backpressure.Limit) (news bool) {
	known := k.counts[backEnd]
	if known == nil && !limit.IsSet || known != nil && known.limit == limit {
		return false
	}
	if known == nil {
		known = &count{askers: map[uint64]time.Duration{}, askedAt: now, askedSince: now}
		k.counts[backEnd] = known
	}
	if !known.limit.IsSet { // what it got without a limit is not known
		known.bucket = bucket{at: now}
	}
	known.limit, known.changedAt = limit, now
	return true
}

// HandleRequest grants a permit or denies it, for a process that grants a part of the limit. The draw in [0, 1) spreads the times
// at which processes ask again.
func (k *LimitCounters) HandleRequest(now time.Duration, ask PermitRequest, part, draw float64) PermitResponse {
	if k.counts[ask.BackEnd] == nil || ask.LimitFromBackEnd {
		k.SetLimit(now, ask.BackEnd, ask.Limit)
	}
	known := k.counts[ask.BackEnd]
	if known == nil || !known.limit.IsSet {
		return PermitResponse{Granted: true}
	}
	known.note(now, ask.RequesterID)
	known.fit(now, part)
	rank := min(max(ask.Rank, 0), RankCount-1)
	if wait := known.until(now, rank, ask.MustResume); wait > 0 {
		known.order.denied(now, rank)
		return PermitResponse{Wait: known.spread(now, wait, draw), Limit: known.limit}
	}
	known.bucket.tokens--
	known.window.add()
	known.order.granted(now, rank)
	return PermitResponse{Granted: true, Limit: known.limit}
}

// note notes that a process asks.
func (c *count) note(now time.Duration, asker uint64) {
	if now-c.askedAt >= settling {
		c.askedSince = now
	}
	c.askedAt = now
	for each, at := range c.askers {
		if now-at >= windowSpan {
			delete(c.askers, each)
		}
	}
	if len(c.askers) < mostAskers {
		c.askers[asker] = now
	}
}

// rate is what the limit allows, in requests a second.
func (c *count) rate() float64 { return max(c.limit.PerSecond, leastRate) }

// fit brings bucket and window to the present time, limit and part of it.
func (c *count) fit(now time.Duration, part float64) {
	capacity := float64(standInSpare)
	if part == FullFraction {
		capacity = spare + min(spareSeconds*c.rate(), mostSpare)
	}
	c.bucket.set(now, c.rate()*part, capacity)
	c.window.advance(now)
}

// until is how long it takes until a request of a rank may be let through; 0 for now.
func (c *count) until(now time.Duration, rank int, owed bool) time.Duration {
	wanted := 1 + c.order.leaves(now, rank)
	if owed {
		wanted = 0
	}
	span := (windowSpan + slotSpan).Seconds()
	most := c.bucket.rate*span + c.bucket.capacity
	return max(c.bucket.until(wanted), c.window.untilSum(most-1))
}

// spread makes the wait longer the more processes ask, and differ.
func (c *count) spread(now, wait time.Duration, draw float64) time.Duration {
	asked := time.Duration(float64(len(c.askers)) / (asksPerSecond + asksPerPermit*c.rate()) * float64(time.Second))
	jitter := 1 + waitJitter*(2*draw-1)
	return min(time.Duration(float64(max(wait, asked))*jitter), longestWait)
}

// askedFor is how long processes have been asking for a back end without a long pause.
func (k *LimitCounters) askedFor(now time.Duration, backEnd uint64) time.Duration {
	if known := k.counts[backEnd]; known != nil {
		return now - known.askedSince
	}
	return 0
}

// Limits returns the limits that are kept, and those that back ends have lately ceased to name, by their hashes.
func (k *LimitCounters) Limits(now time.Duration) []BackEndLimit {
	k.forget(now)
	limits := make([]BackEndLimit, 0, len(k.counts))
	for backEnd, known := range k.counts {
		limits = append(limits, BackEndLimit{BackEnd: backEnd, Limit: known.limit})
	}
	slices.SortFunc(limits, func(a, b BackEndLimit) int { return cmp.Compare(a.BackEnd, b.BackEnd) })
	return limits
}

// forget drops limits that are not named any more, and those for which nobody asks.
func (k *LimitCounters) forget(now time.Duration) {
	for backEnd, known := range k.counts {
		lifted := !known.limit.IsSet && now-known.changedAt >= liftedMemory
		if lifted || now-max(known.askedAt, known.changedAt) >= forgottenAfter {
			delete(k.counts, backEnd)
		}
	}
}
