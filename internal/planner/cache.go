package planner

import "time"

// maxCachedShare bounds the assumed savings by prefix caches.
const maxCachedShare = 0.9

// cacheEstimate estimates the savings by prefix caches: it compares the prompt tokens that engines have prefilled
// with those of the completed requests.
type cacheEstimate struct {
	prefilledTokens map[string]int64 // by engine, from its last report
	prefillRate     float64          // tokens per second, smoothed
	promptRate      float64
}

func (c *cacheEstimate) observe(engines []EngineObservation, sums []kindEstimate, elapsed time.Duration) {
	if c.prefilledTokens == nil {
		c.prefilledTokens = map[string]int64{}
	}
	var prefilled int64
	for _, engine := range engines {
		if engine.Load == nil {
			continue
		}
		previous, known := c.prefilledTokens[engine.Name]
		c.prefilledTokens[engine.Name] = engine.Load.PromptTokensDone
		if known && engine.Load.PromptTokensDone > previous {
			prefilled += engine.Load.PromptTokensDone - previous
		}
	}
	if elapsed <= 0 {
		return
	}
	completedTokens := 0.0
	for _, sum := range sums {
		completedTokens += sum.completed * sum.prompt
	}
	gain := smoothingGain(elapsed, cacheTimeConstant)
	c.prefillRate += gain * (float64(prefilled)/seconds(elapsed) - c.prefillRate)
	c.promptRate += gain * (completedTokens - c.promptRate)
}

// cachedShare returns the share of prompt tokens that prefix caches save.
func (c *cacheEstimate) cachedShare() float64 {
	if c.promptRate <= 0 || c.prefillRate <= 0 {
		return 0
	}
	return min(max(1-c.prefillRate/c.promptRate, 0), maxCachedShare)
}
