package placement

import (
	"maps"
	"time"
)

const (
	// defaultPace is how long a prefill engine takes for the first token of a prompt until it
	// is known better.
	defaultPace = 25 * time.Microsecond
	// attentionShare is by how much of that each token takes longer for each one before it,
	// as it attends to all of them.
	attentionShare = 1.4e-5
	// prefillOverhead is the time for a prompt beside its tokens.
	prefillOverhead = 25 * time.Millisecond
	// paceWeight is the weight of a new observation of the fleet. Of one engine, fasterWeight
	// counts when it was faster than known and slowerWeight when it was slower: a reading may
	// have waited for what no relay told, and an engine that is thought slow is asked less.
	paceWeight   = 0.1
	fasterWeight = 0.6
	slowerWeight = 0.2
	// priorShare is the part of prompts that is read until it is known better, shareWeight the
	// weight of a new prompt.
	priorShare  = 0.55
	shareWeight = 0.02
	// leastPaceTokens is the length from which a reading tells the pace.
	leastPaceTokens = 1500
	// slowestPace bounds what one observation can say, as a multiple of the fleet's pace:
	// readings may have waited for what this relay does not know.
	slowestPace = 6
)

// PrefillSpeed learns how long engines take for one token of a prompt, each engine and all together, and
// how much of prompts they have to read.
type PrefillSpeed struct {
	share   float64
	overall time.Duration
	engines map[uint64]time.Duration
}

// NewPrefillSpeed returns a Pace that has seen nothing.
func NewPrefillSpeed() *PrefillSpeed {
	return &PrefillSpeed{share: priorShare, overall: defaultPace, engines: map[uint64]time.Duration{}}
}

// TimePerToken is the time per token that a reading with nothing ahead of it shows; 0 when it
// was too short to show any.
func TimePerToken(effort int, took time.Duration) time.Duration {
	if effort < leastPaceTokens || took <= prefillOverhead {
		return 0
	}
	return (took - prefillOverhead) / time.Duration(effort)
}

// Observe notes the time per token of one reading at an engine.
func (p *PrefillSpeed) Observe(engine uint64, perToken time.Duration) {
	if perToken <= 0 {
		return
	}
	perToken = min(perToken, slowestPace*p.overall)
	p.overall = blend(p.overall, perToken, paceWeight)
	known, is := p.engines[engine]
	if !is {
		known = p.overall
	}
	weight := slowerWeight
	if perToken < known {
		weight = fasterWeight
	}
	p.engines[engine] = blend(known, perToken, weight)
}

// SetPerToken takes the time per token of an engine from a relay that knows it better.
func (p *PrefillSpeed) SetPerToken(engine uint64, perToken time.Duration) {
	if perToken > 0 {
		p.engines[engine] = perToken
	}
}

func blend(known, observed time.Duration, weight float64) time.Duration {
	return time.Duration((1-weight)*float64(known) + weight*float64(observed))
}

// ObserveUncachedShare notes how much of a prompt had to be read.
func (p *PrefillSpeed) ObserveUncachedShare(tokens, toRead int) {
	if tokens > 0 {
		p.share += shareWeight * (float64(toRead)/float64(tokens) - p.share)
	}
}

// UncachedShare is the part of prompts that usually has to be read.
func (p *PrefillSpeed) UncachedShare() float64 { return p.share }

// PerToken returns the time per token at an engine.
func (p *PrefillSpeed) PerToken(engine uint64) time.Duration {
	if known, is := p.engines[engine]; is {
		return known
	}
	return p.overall
}

// Retain forgets the engines that are not listed.
func (p *PrefillSpeed) Retain(listed func(engine uint64) bool) {
	maps.DeleteFunc(p.engines, func(engine uint64, _ time.Duration) bool { return !listed(engine) })
}

// EffectiveTokens is what reading tokens takes after those before them, counted in first tokens.
func EffectiveTokens(before, tokens int) int {
	return tokens + int(attentionShare*float64(tokens)*(float64(before)+float64(tokens)/2))
}

// PrefillTime is how long a prefill engine takes for so much effort.
func PrefillTime(perToken time.Duration, effort int) time.Duration {
	return prefillOverhead + time.Duration(effort)*perToken
}
