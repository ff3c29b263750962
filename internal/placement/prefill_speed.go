package placement

import (
	"maps"
	"time"
)

const (
	// defaultTokenTime is the initial estimate of how long a prefill engine takes for the first token of a
	// prompt.
	defaultTokenTime = 25 * time.Microsecond
	// attentionGrowth is the relative increase in the time of a token for each token before it, since it attends
	// to all of them.
	attentionGrowth = 1.4e-5
	// prefillOverhead is the fixed time of a prefill, added to the time of its tokens.
	prefillOverhead = 25 * time.Millisecond
	// fleetWeight is the weight of a new observation in the fleet's average. In an engine's own estimate,
	// fasterWeight applies to observations below the estimate and slowerWeight to those above: a slow prefill may have
	// queued behind work that no relay reported, and an engine that is considered slow gets fewer requests.
	fleetWeight  = 0.1
	fasterWeight = 0.6
	slowerWeight = 0.2
	// initialUncachedShare is the initial estimate of the share of prompt tokens that are prefilled,
	// uncachedShareWeight the weight of a new prompt in that estimate.
	initialUncachedShare = 0.55
	uncachedShareWeight  = 0.02
	// minObservedTokens is the shortest prefill, in effective tokens, that yields an observation.
	minObservedTokens = 1500
	// maxSlowdown bounds an observation, as a multiple of the fleet's average: the prefill may have queued
	// behind work that this relay does not know of.
	maxSlowdown = 6
)

// PrefillSpeed estimates the prefill time per prompt token, of each engine and of the fleet, and the share of
// prompt tokens that are not cached.
type PrefillSpeed struct {
	uncachedShare float64
	fleetAverage  time.Duration
	perEngine     map[uint64]time.Duration
}

// NewPrefillSpeed returns the initial estimates.
func NewPrefillSpeed() *PrefillSpeed {
	return &PrefillSpeed{uncachedShare: initialUncachedShare, fleetAverage: defaultTokenTime, perEngine: map[uint64]time.Duration{}}
}

// TimePerToken returns the time per effective token of a prefill that did not queue, or 0 if the prefill was too
// short to tell.
func TimePerToken(effectiveTokens int, elapsed time.Duration) time.Duration {
	if effectiveTokens < minObservedTokens || elapsed <= prefillOverhead {
		return 0
	}
	return (elapsed - prefillOverhead) / time.Duration(effectiveTokens)
}

// Observe updates the estimates with the time per token of a prefill at an engine.
func (p *PrefillSpeed) Observe(engine uint64, perToken time.Duration) {
	if perToken <= 0 {
		return
	}
	perToken = min(perToken, maxSlowdown*p.fleetAverage)
	p.fleetAverage = blend(p.fleetAverage, perToken, fleetWeight)
	previous, known := p.perEngine[engine]
	if !known {
		previous = p.fleetAverage
	}
	weight := slowerWeight
	if perToken < previous {
		weight = fasterWeight
	}
	p.perEngine[engine] = blend(previous, perToken, weight)
}

// SetPerToken replaces an engine's estimate by that of a relay that has observed the engine more often.
func (p *PrefillSpeed) SetPerToken(engine uint64, perToken time.Duration) {
	if perToken > 0 {
		p.perEngine[engine] = perToken
	}
}

func blend(previous, observed time.Duration, weight float64) time.Duration {
	return time.Duration((1-weight)*float64(previous) + weight*float64(observed))
}

// ObserveUncachedShare updates the estimate of UncachedShare with the tokens of a prompt and those of them that were
// prefilled.
func (p *PrefillSpeed) ObserveUncachedShare(tokens, prefillTokens int) {
	if tokens > 0 {
		p.uncachedShare += uncachedShareWeight * (float64(prefillTokens)/float64(tokens) - p.uncachedShare)
	}
}

// UncachedShare returns the usual share of prompt tokens that are prefilled.
func (p *PrefillSpeed) UncachedShare() float64 { return p.uncachedShare }

// FleetAverage returns the fleet's average time per token.
func (p *PrefillSpeed) FleetAverage() time.Duration { return p.fleetAverage }

// IsObserved reports whether there is an estimate for the engine itself.
func (p *PrefillSpeed) IsObserved(engine uint64) bool {
	_, known := p.perEngine[engine]
	return known
}

// PerToken returns the estimated time per token at an engine; it falls back to the fleet's average.
func (p *PrefillSpeed) PerToken(engine uint64) time.Duration {
	if perToken, known := p.perEngine[engine]; known {
		return perToken
	}
	return p.fleetAverage
}

// Retain keeps the estimates of listed engines and removes all others.
func (p *PrefillSpeed) Retain(listed func(engine uint64) bool) {
	maps.DeleteFunc(p.perEngine, func(engine uint64, _ time.Duration) bool { return !listed(engine) })
}

// EffectiveTokens returns the cost of prefilling tokens that follow a number of earlier ones, in units of the
// first token of a prompt.
func EffectiveTokens(before, tokens int) int {
	return tokens + int(attentionGrowth*float64(tokens)*(float64(before)+float64(tokens)/2))
}

// PrefillTime returns how long a prefill engine takes for the given number of effective tokens.
func PrefillTime(perToken time.Duration, effectiveTokens int) time.Duration {
	return prefillOverhead + time.Duration(effectiveTokens)*perToken
}
