package fleetlimit

import (
	"cmp"
	"slices"
	"time"

	"github.com/hazelpitch/hazelpitch/internal/backpressure"
)

const (
	// minimumRate is the minimum rate of permits in requests per second, whatever the limit: a back end that receives no
	// requests cannot announce that its limit has ended. One request per windowSpan is within what a back end tolerates
	// beyond any limit.
	minimumRate = 0.25
	// burstPermits is the fixed part of a bucket's capacity, in permits. Requests arrive at random times, and without
	// spare capacity for some of them a part of the limit would go unused. The capacity also includes the permits of
	// burstSeconds, at most maximumRateBurst.
	burstPermits     = 2
	maximumRateBurst = 2
	// burstSeconds is the time whose permits a bucket holds, in seconds.
	burstSeconds = 0.25
	// deputyBurstPermits is the bucket capacity of a process that does not grant the whole limit, in permits.
	deputyBurstPermits = 1
	// removedLimitRetention is how long the removal of a limit is stored; idleRetention is how long a limit is stored
	// without permit requests for it.
	removedLimitRetention = 10 * time.Second
	idleRetention         = 5 * time.Minute
	// requestsPerSecond and requestsPerPermit limit the permit requests for one back end: to requestsPerSecond plus
	// requestsPerPermit for each permit of the limit. The more processes request permits, the longer each one waits
	// before it retries.
	requestsPerSecond = 20
	requestsPerPermit = 4
	// maximumWait limits the wait before a retry.
	maximumWait = windowSpan
	// waitJitter is the fraction by which waits vary, so that processes do not retry simultaneously.
	waitJitter = 0.25
	// maximumRequesters limits the requesting processes recorded for one back end.
	maximumRequesters = 4096
)

// LimitCounters counts the requests to back ends with a limit and grants permits. It is not safe for concurrent use.
type LimitCounters struct {
	counters map[uint64]*limitCounter
}

// limitCounter is the state of one back end's limit.
type limitCounter struct {
	limit    backpressure.Limit
	bucket   bucket
	window   window
	priority priority
	// changedAt is when the limit changed; lastRequestAt is the time of the last permit request, and requestedSince the
	// start of the current series of requests.
	changedAt, lastRequestAt, requestedSince time.Duration
	// requesters are the requesting processes with the time of their last request.
	requesters map[uint64]time.Duration
}

// NewLimitCounters returns LimitCounters without limits.
func NewLimitCounters() *LimitCounters { return &LimitCounters{counters: map[uint64]*limitCounter{}} }

// SetLimit records the current limit of a back end, the zero value for none. It reports whether the limit changed.
func (c *LimitCounters) SetLimit(now time.Duration, backEnd uint64, limit backpressure.Limit) (changed bool) {
	counter := c.counters[backEnd]
	if counter == nil && !limit.IsSet || counter != nil && counter.limit == limit {
		return false
	}
	if counter == nil {
		counter = &limitCounter{requesters: map[uint64]time.Duration{}, lastRequestAt: now, requestedSince: now}
		c.counters[backEnd] = counter
	}
	if !counter.limit.IsSet { // requests sent without a limit were not counted
		counter.bucket = bucket{updatedAt: now}
	}
	counter.limit, counter.changedAt = limit, now
	return true
}

// HandleRequest grants or denies a permit. fraction is the fraction of the limit that this process grants. draw is a
// random number in [0, 1) that spreads the times at which processes retry.
func (c *LimitCounters) HandleRequest(now time.Duration, request PermitRequest, fraction, draw float64) PermitResponse {
	if c.counters[request.BackEnd] == nil || request.LimitFromBackEnd {
		c.SetLimit(now, request.BackEnd, request.Limit)
	}
	counter := c.counters[request.BackEnd]
	if counter == nil || !counter.limit.IsSet {
		return PermitResponse{Granted: true}
	}
	counter.recordRequester(now, request.RequesterID)
	counter.update(now, fraction)
	rank := min(max(request.Rank, 0), RankCount-1)
	if wait := counter.permitWait(now, rank, request.MustResume); wait > 0 {
		counter.priority.recordDenial(now, rank)
		return PermitResponse{Wait: counter.retryWait(now, wait, draw), Limit: counter.limit}
	}
	counter.bucket.tokens--
	counter.window.add()
	counter.priority.recordGrant(now, rank)
	return PermitResponse{Granted: true, Limit: counter.limit}
}

// recordRequester records the time of a process's permit request, from which retryWait counts the requesting processes.
func (c *limitCounter) recordRequester(now time.Duration, requester uint64) {
	if now-c.lastRequestAt >= settlingTime {
		c.requestedSince = now
	}
	c.lastRequestAt = now
	for each, at := range c.requesters {
		if now-at >= windowSpan {
			delete(c.requesters, each)
		}
	}
	if len(c.requesters) < maximumRequesters {
		c.requesters[requester] = now
	}
}

// rate returns the permitted rate in requests per second.
func (c *limitCounter) rate() float64 { return max(c.limit.PerSecond, minimumRate) }

// update advances bucket and window to now, with the current limit and fraction.
func (c *limitCounter) update(now time.Duration, fraction float64) {
	capacity := float64(deputyBurstPermits)
	if fraction == FullFraction {
		capacity = burstPermits + min(burstSeconds*c.rate(), maximumRateBurst)
	}
	c.bucket.set(now, c.rate()*fraction, capacity)
	c.window.advance(now)
}

// permitWait returns how long a request of this rank must wait for a permit; 0 if it can have one now. A request that
// can only run on this back end (mustResume) does not wait for a whole token in the bucket.
func (c *limitCounter) permitWait(now time.Duration, rank int, mustResume bool) time.Duration {
	wanted := 1 + c.priority.reservedTokens(now, rank)
	if mustResume {
		wanted = 0
	}
	span := (windowSpan + slotSpan).Seconds()
	limit := c.bucket.rate*span + c.bucket.capacity
	return max(c.bucket.waitFor(wanted), c.window.waitForSum(limit-1))
}

// retryWait returns how long the requesting process waits before it requests the permit again. The time grows with the
// number of requesting processes and has a random component, set by draw.
func (c *limitCounter) retryWait(now, wait time.Duration, draw float64) time.Duration {
	minimum := time.Duration(float64(len(c.requesters)) / (requestsPerSecond + requestsPerPermit*c.rate()) * float64(time.Second))
	jitter := 1 + waitJitter*(2*draw-1)
	return min(time.Duration(float64(max(wait, minimum))*jitter), maximumWait)
}

// requestedFor returns how long processes have been requesting permits for a back end without a long pause.
func (c *LimitCounters) requestedFor(now time.Duration, backEnd uint64) time.Duration {
	if counter := c.counters[backEnd]; counter != nil {
		return now - counter.requestedSince
	}
	return 0
}

// Limits returns the stored limits and the recently removed ones, ordered by back-end hash.
func (c *LimitCounters) Limits(now time.Duration) []BackEndLimit {
	c.removeStale(now)
	limits := make([]BackEndLimit, 0, len(c.counters))
	for backEnd, counter := range c.counters {
		limits = append(limits, BackEndLimit{BackEnd: backEnd, Limit: counter.limit})
	}
	slices.SortFunc(limits, func(a, b BackEndLimit) int { return cmp.Compare(a.BackEnd, b.BackEnd) })
	return limits
}

// removeStale deletes removed limits and limits without recent permit requests after their retention.
func (c *LimitCounters) removeStale(now time.Duration) {
	for backEnd, counter := range c.counters {
		removed := !counter.limit.IsSet && now-counter.changedAt >= removedLimitRetention
		if removed || now-max(counter.lastRequestAt, counter.changedAt) >= idleRetention {
			delete(c.counters, backEnd)
		}
	}
}
