package admission

import (
	"time"

	"github.com/gravitational/trace"
	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// maximumClasses limits the classes with a recorded latency.
	maximumClasses = 256
	// latencySmoothing is the weight of one request in the recorded latency.
	latencySmoothing = 0.1
	// probeSmoothing is the weight of a probe request, which checks a stale latency.
	probeSmoothing = 0.5
	// latencyLifetime is how long a latency is valid without a new request. After that, one
	// request may probe it.
	latencyLifetime = 2 * time.Second
)

// classLatency is the recent latency of requests of one class at back ends.
type classLatency struct {
	// firstToken is the mean time to first token, including queueing at back ends; deviation
	// is its mean absolute deviation.
	firstToken time.Duration
	deviation  time.Duration
	// tokenInterval is the mean time between tokens.
	tokenInterval time.Duration
	updatedAt     time.Duration
	// isProbing reports that a request was admitted to probe a stale latency.
	isProbing bool
}

func (p *classLatency) isStale(now time.Duration) bool { return now-p.updatedAt > latencyLifetime }

// latencyTracker records the latency of each class.
type latencyTracker struct {
	classes *simplelru.LRU[string, *classLatency]
}

func newLatencyTracker() (latencyTracker, error) {
	classes, err := simplelru.NewLRU[string, *classLatency](maximumClasses, nil)
	return latencyTracker{classes: classes}, trace.Wrap(err)
}

// recordFirstToken records the time to first token of a request.
func (p latencyTracker) recordFirstToken(now time.Duration, class string, took time.Duration) {
	known, found := p.classes.Get(class)
	if !found {
		known = &classLatency{firstToken: took}
		p.classes.Add(class, known)
	}
	weight := latencySmoothing
	if known.isProbing {
		weight = probeSmoothing
	}
	known.updatedAt, known.isProbing = now, false
	known.deviation += smoothed(weight, max(took-known.firstToken, known.firstToken-took)-known.deviation)
	known.firstToken += smoothed(weight, took-known.firstToken)
}

// recordFinish records the end of a request.
func (p latencyTracker) recordFinish(now time.Duration, ended *entry, result Result) {
	took := now - ended.startedAt
	known, found := p.classes.Get(ended.Class)
	switch {
	case ended.firstToken == 0 && result.DeadlineMissed:
		// The request was cancelled before its first token, so the time to first token is longer than took.
		if !found || took > known.firstToken {
			p.recordFirstToken(now, ended.Class, took)
		}
	case ended.firstToken > 0 && found && result.OutputTokens > 1:
		interval := (took - ended.firstToken) / time.Duration(result.OutputTokens-1)
		if known.tokenInterval == 0 {
			known.tokenInterval = interval
		}
		known.tokenInterval += smoothed(latencySmoothing, interval-known.tokenInterval)
	}
}

func smoothed(weight float64, difference time.Duration) time.Duration {
	return time.Duration(weight * float64(difference))
}

// recordStart records the start of a request. The first request after the latency became stale
// probes it on behalf of all.
func (p latencyTracker) recordStart(now time.Duration, request *Request) {
	if known, found := p.classes.Peek(request.Class); found && known.isStale(now) {
		known.updatedAt, known.isProbing = now, true
	}
}

// serviceTime returns the expected duration of a request from its start, based on the recent
// latency of its class with one deviation of the time to first token as a margin. prefillWait is
// the time that back ends need for the prompts started before it. The result is at least the
// request's own minimum, and exactly that without a recent measurement.
func (p latencyTracker) serviceTime(now time.Duration, request *Request, prefillWait time.Duration) time.Duration {
	known, found := p.classes.Peek(request.Class)
	if !found || known.isStale(now) {
		return request.MinimumTime
	}
	expected := max(known.firstToken+known.deviation, prefillWait) + time.Duration(request.OutputTokens)*known.tokenInterval
	return max(expected, request.MinimumTime)
}
