package planner

import "time"

// mostCached bounds what caches are believed to save.
const mostCached = 0.9

// cacheEstimate compares the prompt tokens that engines have read with those of the
// requests that completed: the rest was found in prefix caches.
type cacheEstimate struct {
	done   map[string]int64 // prompt tokens read by each engine, as last reported
	read   float64          // tokens a second, smoothed
	served float64
}

func (c *cacheEstimate) observe(engines []EngineObservation, sums []estimate, elapsed time.Duration) {
	if c.done == nil {
		c.done = map[string]int64{}
	}
	var read int64
	for _, engine := range engines {
		if engine.Load == nil {
			continue
		}
		before, known := c.done[engine.Name]
		c.done[engine.Name] = engine.Load.PromptTokensDone
		if known && engine.Load.PromptTokensDone > before {
			read += engine.Load.PromptTokensDone - before
		}
	}
	if elapsed <= 0 {
		return
	}
	served := 0.0
	for _, sum := range sums {
		served += sum.completed * sum.prompt
	}
	gain := gainOf(elapsed, cacheTimeConstant)
	c.read += gain * (float64(read)/seconds(elapsed) - c.read)
	c.served += gain * (served - c.served)
}

// share is the part of prompt tokens that caches save.
func (c *cacheEstimate) share() float64 {
	if c.served <= 0 || c.read <= 0 {
		return 0
	}
	return min(max(1-c.read/c.served, 0), mostCached)
}
