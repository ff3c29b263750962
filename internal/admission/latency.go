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
	// isProbing is true if a request was admitted to probe a stale latency.
	isProbing bool
}

func (l *classLatency) isStale(now time.Duration) bool { return now-l.updatedAt > latencyLifetime }

// latencyTracker records the latency of each class.
type latencyTracker struct {
	classes *simplelru.LRU[string, *classLatency]
}

func newLatencyTracker() (latencyTracker, error) {
	classes, err := simplelru.NewLRU[string, *classLatency](maximumClasses, nil)
	return latencyTracker{classes: classes}, trace.Wrap(err)
}

// recordFirstToken updates the latency of a class with the time to first token of one of its requests.
func (t latencyTracker) recordFirstToken(now time.Duration, class string, took time.Duration) {
	latency, found := t.classes.Get(class)
	if !found {
		latency = &classLatency{firstToken: took}
		t.classes.Add(class, latency)
	}
	weight := latencySmoothing
	if latency.isProbing {
		weight = probeSmoothing
	}
	latency.updatedAt, latency.isProbing = now, false
	latency.deviation += smoothed(weight, max(took-latency.firstToken, latency.firstToken-took)-latency.deviation)
	latency.firstToken += smoothed(weight, took-latency.firstToken)
}

// recordFinish updates the latency of a request's class when the request ends.
func (t latencyTracker) recordFinish(now time.Duration, ended *entry, result Result) {
	took := now - ended.startedAt
	latency, found := t.classes.Get(ended.Class)
	switch {
	case ended.firstToken == 0 && result.DeadlineMissed:
		// The request was cancelled before its first token, so the time to first token is longer than took.
		if !found || took > latency.firstToken {
			t.recordFirstToken(now, ended.Class, took)
		}
	case ended.firstToken > 0 && found && result.OutputTokens > 1:
		interval := (took - ended.firstToken) / time.Duration(result.OutputTokens-1)
		if latency.tokenInterval == 0 {
			latency.tokenInterval = interval
		}
		latency.tokenInterval += smoothed(latencySmoothing, interval-latency.tokenInterval)
	}
}

func smoothed(weight float64, difference time.Duration) time.Duration {
	return time.Duration(weight * float64(difference))
}

// recordStart records the start of a request. If the latency of its class is stale, the request probes it. Other
// requests are meanwhile judged by the old latency.
func (t latencyTracker) recordStart(now time.Duration, request *Request) {
	if latency, found := t.classes.Peek(request.Class); found && latency.isStale(now) {
		latency.updatedAt, latency.isProbing = now, true
	}
}

// serviceTime returns the expected duration of a request from its start, based on the recent
// latency of its class with one deviation of the time to first token as a margin. prefillWait is
// the time that back ends need for the prompts started before it. The result is at least the
// request's own minimum, and exactly that without a recent measurement.
func (t latencyTracker) serviceTime(now time.Duration, request *Request, prefillWait time.Duration) time.Duration {
	latency, found := t.classes.Peek(request.Class)
	if !found || latency.isStale(now) {
		return request.MinimumTime
	}
	expected := max(latency.firstToken+latency.deviation, prefillWait) + time.Duration(request.OutputTokens)*latency.tokenInterval
	return max(expected, request.MinimumTime)
}
