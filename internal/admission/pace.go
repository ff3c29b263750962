package admission

import (
	"time"

	"github.com/gravitational/trace"
	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// maximumClasses bounds the classes whose pace is remembered.
	maximumClasses = 256
	// paceSmoothing is the weight of one request in a pace.
	paceSmoothing = 0.1
	// probeSmoothing is the weight of a request that was let through to confirm a pace.
	probeSmoothing = 0.5
	// paceLifetime is how long a pace counts without a new request to confirm it: then
	// one request may try again.
	paceLifetime = 2 * time.Second
)

// pace is how long requests of one class have lately taken at back ends.
type pace struct {
	// firstToken is the mean time to the first token, waits at back ends included, and
	// deviation the mean distance from it.
	firstToken time.Duration
	deviation  time.Duration
	// interval is the mean time between tokens.
	interval time.Duration
	learned  time.Duration
	// probing tells that a request was let through to confirm it.
	probing bool
}

func (p *pace) stale(now time.Duration) bool { return now-p.learned > paceLifetime }

// paces remembers the pace of each class.
type paces struct {
	classes *simplelru.LRU[string, *pace]
}

func newPaces() (paces, error) {
	classes, err := simplelru.NewLRU[string, *pace](maximumClasses, nil)
	return paces{classes: classes}, trace.Wrap(err)
}

// firstToken takes in the time that a request took to its first token.
func (p paces) firstToken(now time.Duration, class string, took time.Duration) {
	known, found := p.classes.Get(class)
	if !found {
		known = &pace{firstToken: took}
		p.classes.Add(class, known)
	}
	weight := paceSmoothing
	if known.probing {
		weight = probeSmoothing
	}
	known.learned, known.probing = now, false
	known.deviation += smoothed(weight, max(took-known.firstToken, known.firstToken-took)-known.deviation)
	known.firstToken += smoothed(weight, took-known.firstToken)
}

// finished takes in how a request ended.
func (p paces) finished(now time.Duration, ended *entry, result Result) {
	took := now - ended.startedAt
	known, found := p.classes.Get(ended.Class)
	switch {
	case ended.firstToken == 0 && result.DeadlineMissed:
		// It had no token when it was given up: its first token is later than that.
		if !found || took > known.firstToken {
			p.firstToken(now, ended.Class, took)
		}
	case ended.firstToken > 0 && found && result.OutputTokens > 1:
		interval := (took - ended.firstToken) / time.Duration(result.OutputTokens-1)
		if known.interval == 0 {
			known.interval = interval
		}
		known.interval += smoothed(paceSmoothing, interval-known.interval)
	}
}

func smoothed(weight float64, difference time.Duration) time.Duration {
	return time.Duration(weight * float64(difference))
}

// started notes that a request starts: the first one after a pace has become stale
// confirms it for all.
func (p paces) started(now time.Duration, asked *Request) {
	if known, found := p.classes.Peek(asked.Class); found && known.stale(now) {
		known.learned, known.probing = now, true
	}
}

// serviceTime is how long a request of this class takes from its start, by what has
// lately been seen and with one deviation of the first token's time as a margin; reading
// is the time that back ends need for the prompts started before it. It is never less than the request's own minimum, and just that when nothing was seen lately.
func (p paces) serviceTime(now time.Duration, asked *Request, reading time.Duration) time.Duration {
	known, found := p.classes.Peek(asked.Class)
	if !found || known.stale(now) {
		return asked.MinimumTime
	}
	expected := max(known.firstToken+known.deviation, reading) + time.Duration(asked.OutputTokens)*known.interval
	return max(expected, asked.MinimumTime)
}
