package previousplanner

import (
	"math"
	"sort"
	"time"
)

// estimate is the estimated demand of one kind.
type estimate struct {
	kind     string
	arrivals float64 // per second
	prompt   float64 // tokens
	output   float64 // tokens
	cached   float64 // share of prompt tokens
}

// Time constants of the smoothing. Rates must follow shifts within seconds; the tokens per
// request change more slowly and are noisy.
const (
	rateTimeConstant   = 8 * time.Second
	tokensTimeConstant = 30 * time.Second
)

// demandTracker smooths the demand of each kind.
type demandTracker struct {
	last  time.Duration
	begun bool
	kinds map[string]*trackedKind
}

type trackedKind struct {
	estimate
}

func newDemandTracker() *demandTracker {
	return &demandTracker{kinds: map[string]*trackedKind{}}
}

// observe updates the estimates with one observation's demands, summed over zones.
func (t *demandTracker) observe(now time.Duration, demands []DemandObservation) {
	elapsed := now - t.last
	first := !t.begun
	t.last, t.begun = now, true
	sums := sumZones(demands)
	for _, sum := range sums {
		tracked, known := t.kinds[sum.kind]
		if !known {
			t.kinds[sum.kind] = &trackedKind{estimate: sum}
			continue
		}
		if first || elapsed <= 0 {
			continue
		}
		tracked.blend(sum, elapsed)
	}
}

// blend moves the estimate towards a new value.
func (k *trackedKind) blend(sum estimate, elapsed time.Duration) {
	rateGain := 1 - math.Exp(-seconds(elapsed)/seconds(rateTimeConstant))
	tokensGain := 1 - math.Exp(-seconds(elapsed)/seconds(tokensTimeConstant))
	k.arrivals += rateGain * (sum.arrivals - k.arrivals)
	if sum.arrivals <= 0 {
		return
	}
	k.prompt += tokensGain * (sum.prompt - k.prompt)
	k.output += tokensGain * (sum.output - k.output)
	k.cached += tokensGain * (sum.cached - k.cached)
}

// current returns the smoothed estimates, sorted by kind.
func (t *demandTracker) current() []estimate {
	result := make([]estimate, 0, len(t.kinds))
	for _, tracked := range t.kinds {
		result = append(result, tracked.estimate)
	}
	sort.Slice(result, func(i, j int) bool { return result[i].kind < result[j].kind })
	return result
}

// sumZones sums the arrivals of each kind over zones and averages its tokens.
func sumZones(demands []DemandObservation) []estimate {
	byKind := map[string]*estimate{}
	for _, demand := range demands {
		sum, known := byKind[demand.Kind]
		if !known {
			sum = &estimate{kind: demand.Kind}
			byKind[demand.Kind] = sum
		}
		before, added := sum.arrivals, demand.ArrivalsPerSecond
		if before+added <= 0 {
			sum.prompt, sum.output, sum.cached = demand.PromptTokens, demand.OutputTokens, demand.CachedShare
			continue
		}
		share := added / (before + added)
		sum.arrivals = before + added
		sum.prompt += share * (demand.PromptTokens - sum.prompt)
		sum.output += share * (demand.OutputTokens - sum.output)
		sum.cached += share * (demand.CachedShare - sum.cached)
	}
	result := make([]estimate, 0, len(byKind))
	for _, sum := range byKind {
		result = append(result, *sum)
	}
	sort.Slice(result, func(i, j int) bool { return result[i].kind < result[j].kind })
	return result
}
