package planner

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Time constants and sizes of the history.
const (
	// tokensTimeConstant smooths the tokens per request: they are noisy and change far more slowly than rates.
	tokensTimeConstant = 30 * time.Second
	// cacheTimeConstant smooths the share of prompt tokens found in caches.
	cacheTimeConstant = 60 * time.Second
	// recentTimeConstant is the time constant of the decaying weight of the recent past, which reveals shifts.
	recentTimeConstant = 12 * time.Second
	// recentWeight and forecastWeight are the weights of the recent past and of the forecast. The rest goes to the
	// whole past horizon, so that recurring mixes are taken into account.
	recentWeight   = 0.3
	forecastWeight = 0.4
	// The horizon is divided into bins. Their length is bounded: a shorter bin is noise, a longer one hides a shift.
	binsPerHorizon = 40
	minBin         = 3 * time.Second
	maxBin         = 15 * time.Second
)

// history is the demand of one service over the past horizon.
type history struct {
	lastAt time.Duration
	// elapsed is the time between the last two observations.
	elapsed        time.Duration
	hasObservation bool
	kinds          map[string]*kindTokens
	bins           []bin // oldest first
	cache          cacheEstimate
	// correction estimates by which factor the worth that the current split completes exceeds the model's.
	correction correction
}

// kindTokens are the smoothed tokens per request of one kind.
type kindTokens struct {
	prompt float64
	output float64
	rate   trend
}

// bin holds the rates of each kind over a short time.
type bin struct {
	start        time.Duration
	observations int
	rates        map[string]float64 // sums over the observations
	lost         map[string]float64
}

// weightedDemand is a demand to plan for and its weight.
type weightedDemand struct {
	weight  float64
	demands []KindDemand
	// lost is the worth per second that was refused or completed too late.
	lost float64
	// forecast is true if the demand is predicted rather than observed.
	forecast bool
}

func newHistory() *history { return &history{kinds: map[string]*kindTokens{}} }

// observe adds an observation of the demand, summed over zones.
func (h *history) observe(observation Observation, demands []DemandObservation) {
	elapsed := observation.Now - h.lastAt
	if h.hasObservation && elapsed <= 0 {
		return
	}
	if !h.hasObservation {
		elapsed = 0
	}
	h.lastAt, h.elapsed, h.hasObservation = observation.Now, elapsed, true
	sums := sumZones(demands)
	for _, sum := range sums {
		h.updateTokens(sum, elapsed)
	}
	h.updateRates(sums, elapsed)
	horizon := horizonOf(observation.Policy)
	length := min(max(horizon/binsPerHorizon, minBin), maxBin)
	if len(h.bins) == 0 || observation.Now-h.bins[len(h.bins)-1].start >= length {
		h.bins = append(h.bins, bin{start: observation.Now, rates: map[string]float64{}, lost: map[string]float64{}})
	}
	newest := &h.bins[len(h.bins)-1]
	newest.observations++
	for _, sum := range sums {
		newest.rates[sum.kind] += sum.arrivals
		newest.lost[sum.kind] += sum.lost
	}
	for len(h.bins) > 1 && observation.Now-h.bins[0].start > horizon {
		h.bins = h.bins[1:]
	}
	h.cache.observe(observation.Engines, sums, elapsed)
}

func (h *history) updateTokens(sum kindEstimate, elapsed time.Duration) {
	tokens := h.kinds[sum.kind]
	if tokens == nil {
		tokens = &kindTokens{prompt: sum.prompt, output: sum.output}
		h.kinds[sum.kind] = tokens
		return
	}
	gain := smoothingGain(elapsed, tokensTimeConstant)
	if sum.prompt > 0 {
		tokens.prompt += gain * (sum.prompt - tokens.prompt)
	}
	if sum.output > 0 {
		if tokens.output == 0 {
			tokens.output = sum.output
		}
		tokens.output += gain * (sum.output - tokens.output)
	}
}

// updateRates updates the trends of all kinds; a kind that is not reported has the rate 0.
func (h *history) updateRates(sums []kindEstimate, elapsed time.Duration) {
	rates := make(map[string]float64, len(sums))
	for _, sum := range sums {
		rates[sum.kind] = sum.arrivals
	}
	for kind, tokens := range h.kinds {
		tokens.rate.observe(rates[kind], elapsed)
	}
}

// smoothingGain returns the weight, in a moving average with a time constant, of an observation made elapsed after the
// previous one.
func smoothingGain(elapsed, constant time.Duration) float64 {
	return 1 - math.Exp(-seconds(elapsed)/seconds(constant))
}

// demands returns the demands of the past horizon and the forecast with their weights, which sum to 1.
func (h *history) demands(now time.Duration, worths []KindWorth, horizon time.Duration) []weightedDemand {
	result := make([]weightedDemand, len(h.bins), len(h.bins)+1)
	recent, long := make([]float64, len(h.bins)), make([]float64, len(h.bins))
	for i, bin := range h.bins {
		age := seconds(now - bin.start)
		recent[i] = float64(bin.observations) * math.Exp(-age/seconds(recentTimeConstant))
		long[i] = float64(bin.observations) * math.Exp(-2*age/seconds(horizon))
		result[i].demands = h.toDemands(bin.meanRates(), worths)
		for _, demand := range result[i].demands {
			result[i].lost += demand.Worth * bin.lost[demand.Kind] / float64(bin.observations)
		}
	}
	recentSum, longSum := sumOf(recent), sumOf(long)
	for i := range result {
		result[i].weight = recentWeight*recent[i]/recentSum + (1-recentWeight-forecastWeight)*long[i]/longSum
	}
	return append(result, weightedDemand{weight: forecastWeight, forecast: true, demands: h.toDemands(h.forecast(), worths)})
}

// forecast returns the rates predicted by the trends of all kinds.
func (h *history) forecast() map[string]float64 {
	rates := make(map[string]float64, len(h.kinds))
	for kind, tokens := range h.kinds {
		rates[kind] = tokens.rate.forecast()
	}
	return rates
}

func (b bin) meanRates() map[string]float64 {
	rates := make(map[string]float64, len(b.rates))
	for kind, sum := range b.rates {
		rates[kind] = sum / float64(b.observations)
	}
	return rates
}

func sumOf(values []float64) float64 {
	total := 0.0
	for _, value := range values {
		total += value
	}
	return total
}

// toDemands converts rates into demands, sorted by kind.
func (h *history) toDemands(rates map[string]float64, worths []KindWorth) []KindDemand {
	demands := make([]KindDemand, 0, len(rates))
	for kind, rate := range rates {
		tokens := h.kinds[kind]
		demand := KindDemand{
			Kind: kind, ArrivalsPerSecond: rate, PromptTokens: tokens.prompt * (1 - h.cache.cachedShare()),
			OutputTokens: tokens.output, ContextTokens: tokens.prompt + tokens.output/2, Worth: 1,
		}
		for _, worth := range worths {
			if worth.Kind == kind {
				demand.Worth, demand.Deadline = worth.Worth, worth.Deadline
			}
		}
		demands = append(demands, demand)
	}
	slices.SortFunc(demands, func(a, b KindDemand) int { return cmp.Compare(a.Kind, b.Kind) })
	return demands
}

// meanDemand combines weighted demands into one.
func meanDemand(weighted []weightedDemand) []KindDemand {
	byKind := map[string]*KindDemand{}
	for _, entry := range weighted {
		for _, demand := range entry.demands {
			if byKind[demand.Kind] == nil {
				merged := demand
				merged.ArrivalsPerSecond = 0
				byKind[demand.Kind] = &merged
			}
			byKind[demand.Kind].ArrivalsPerSecond += entry.weight * demand.ArrivalsPerSecond
		}
	}
	mean := make([]KindDemand, 0, len(byKind))
	for _, demand := range byKind {
		mean = append(mean, *demand)
	}
	slices.SortFunc(mean, func(a, b KindDemand) int { return cmp.Compare(a.Kind, b.Kind) })
	return mean
}
