package relay

import (
	"sync"
	"time"
)

const (
	// defaultPace is how long a prefill engine takes for one token of a prompt until it is
	// known better.
	defaultPace = 30 * time.Microsecond
	// prefillOverhead is the time for a prompt beside its tokens.
	prefillOverhead = 25 * time.Millisecond
	// paceWeight is the weight of a new observation.
	paceWeight = 0.2
	// leastPaceTokens is the length from which a reading tells the pace.
	leastPaceTokens = 1500
	// slowestPace bounds what one observation can say, as a multiple of the fleet's pace:
	// readings may have waited for what this relay does not know.
	slowestPace = 6
	// decodeSlowdown is how much slower a decoding engine reads prompts than a prefill engine.
	decodeSlowdown = 2
)

// pace learns how long engines take for one token of a prompt, each engine and all
// together. It is safe for concurrent use.
type pace struct {
	mutex   sync.Mutex
	overall time.Duration
	engines map[uint64]time.Duration
}

func newPace() *pace { return &pace{overall: defaultPace, engines: map[uint64]time.Duration{}} }

// observe notes how long an engine took to read tokens with nothing ahead of them.
func (p *pace) observe(engine uint64, tokens int, took time.Duration) {
	if tokens < leastPaceTokens || took <= prefillOverhead {
		return
	}
	perToken := (took - prefillOverhead) / time.Duration(tokens)
	p.mutex.Lock()
	defer p.mutex.Unlock()
	perToken = min(perToken, slowestPace*p.overall)
	p.overall = blend(p.overall, perToken)
	known, is := p.engines[engine]
	if !is {
		known = p.overall
	}
	p.engines[engine] = blend(known, perToken)
}

func blend(known, observed time.Duration) time.Duration {
	return time.Duration((1-paceWeight)*float64(known) + paceWeight*float64(observed))
}

// of returns the time per token at an engine.
func (p *pace) of(engine uint64) time.Duration {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if known, is := p.engines[engine]; is {
		return known
	}
	return p.overall
}

// keep forgets engines that are no longer listed.
func (p *pace) keep(listed map[uint64]*backEnd) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for engine := range p.engines {
		if listed[engine] == nil {
			delete(p.engines, engine)
		}
	}
}

// prefillTime is how long a prefill engine takes for so many tokens.
func prefillTime(perToken time.Duration, tokens int) time.Duration {
	return prefillOverhead + time.Duration(tokens)*perToken
}
