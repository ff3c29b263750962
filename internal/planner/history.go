package planner

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Time constants and sizes of the history.
const (
	// tokensTimeConstant smooths the tokens of one request: they change far more
	// slowly than rates and are noisy.
	tokensTimeConstant = 30 * time.Second
	// cacheTimeConstant smooths the share of prompt tokens found in caches.
	cacheTimeConstant = 60 * time.Second
	// recentTimeConstant weighs the recent past, by which shifts are noticed.
	recentTimeConstant = 12 * time.Second
	// recentPart and forecastPart are the parts of the weight that go to the recent past
	// and to where its trend leads; the rest goes to the whole horizon behind, by which
	// mixes that come and go are remembered.
	recentPart   = 0.3
	forecastPart = 0.4
	// Bins divide the horizon; their length is bounded so that one is neither noise
	// nor a whole shift.
	binsPerHorizon = 40
	shortestBin    = 3 * time.Second
	longestBin     = 15 * time.Second
)

// history remembers the demand of one service over the horizon behind.
type history struct {
	last time.Duration
	// elapsed is the time between the last two observations.
	elapsed time.Duration
	begun   bool
	kinds   map[string]*kindTokens
	bins    []bin // oldest first
	cache   cacheEstimate
	// correction is by how much the present split measurably outdoes the model.
	correction correction
}

// kindTokens are the smoothed tokens of one kind's requests.
type kindTokens struct {
	prompt float64
	output float64
	rate   trend
}

// bin is the mean rate of each kind over a short span.
type bin struct {
	from     time.Duration
	readings int
	rates    map[string]float64 // sums over the readings
	lost     map[string]float64
}

// weightedDemand is one demand to plan for and how much it counts.
type weightedDemand struct {
	weight  float64
	demands []KindDemand
	// lost is the worth per second that was refused or came too late.
	lost float64
	// forecast tells that this is where trends lead and not what has been.
	forecast bool
}

func newHistory() *history { return &history{kinds: map[string]*kindTokens{}} }

// observe takes in one reading of the demand, summed over zones.
func (h *history) observe(observation Observation, demands []DemandObservation) {
	elapsed := observation.Now - h.last
	if h.begun && elapsed <= 0 {
		return
	}
	if !h.begun {
		elapsed = 0
	}
	h.last, h.elapsed, h.begun = observation.Now, elapsed, true
	sums := sumZones(demands)
	for _, sum := range sums {
		h.learnTokens(sum, elapsed)
	}
	h.followRates(sums, elapsed)
	horizon := horizonOf(observation.Policy)
	length := min(max(horizon/binsPerHorizon, shortestBin), longestBin)
	if len(h.bins) == 0 || observation.Now-h.bins[len(h.bins)-1].from >= length {
		h.bins = append(h.bins, bin{from: observation.Now, rates: map[string]float64{}, lost: map[string]float64{}})
	}
	newest := &h.bins[len(h.bins)-1]
	newest.readings++
	for _, sum := range sums {
		newest.rates[sum.kind] += sum.arrivals
		newest.lost[sum.kind] += sum.lost
	}
	for len(h.bins) > 1 && observation.Now-h.bins[0].from > horizon {
		h.bins = h.bins[1:]
	}
	h.cache.observe(observation.Engines, sums, elapsed)
}

func (h *history) learnTokens(sum estimate, elapsed time.Duration) {
	known := h.kinds[sum.kind]
	if known == nil {
		known = &kindTokens{prompt: sum.prompt, output: sum.output}
		h.kinds[sum.kind] = known
		return
	}
	gain := gainOf(elapsed, tokensTimeConstant)
	if sum.prompt > 0 {
		known.prompt += gain * (sum.prompt - known.prompt)
	}
	if sum.output > 0 {
		if known.output == 0 {
			known.output = sum.output
		}
		known.output += gain * (sum.output - known.output)
	}
}

// followRates takes the rates into the trends; a kind that is not reported has none.
func (h *history) followRates(sums []estimate, elapsed time.Duration) {
	rates := make(map[string]float64, len(sums))
	for _, sum := range sums {
		rates[sum.kind] = sum.arrivals
	}
	for kind, tokens := range h.kinds {
		tokens.rate.observe(rates[kind], elapsed)
	}
}

// gainOf is how far a smoothed value moves towards a reading after a time.
func gainOf(elapsed, constant time.Duration) float64 {
	return 1 - math.Exp(-seconds(elapsed)/seconds(constant))
}

// demands returns the demands of the horizon behind with their weights, which sum to 1.
func (h *history) demands(now time.Duration, worths []KindWorth, horizon time.Duration) []weightedDemand {
	result := make([]weightedDemand, len(h.bins), len(h.bins)+1)
	recent, long := make([]float64, len(h.bins)), make([]float64, len(h.bins))
	for i, bin := range h.bins {
		age := seconds(now - bin.from)
		recent[i] = float64(bin.readings) * math.Exp(-age/seconds(recentTimeConstant))
		long[i] = float64(bin.readings) * math.Exp(-2*age/seconds(horizon))
		result[i].demands = h.demandsOf(bin.meanRates(), worths)
		for _, demand := range result[i].demands {
			result[i].lost += demand.Worth * bin.lost[demand.Kind] / float64(bin.readings)
		}
	}
	recentSum, longSum := sumOf(recent), sumOf(long)
	for i := range result {
		result[i].weight = recentPart*recent[i]/recentSum + (1-recentPart-forecastPart)*long[i]/longSum
	}
	return append(result, weightedDemand{weight: forecastPart, forecast: true, demands: h.demandsOf(h.forecast(), worths)})
}

// forecast is where the trends of all kinds lead.
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
		rates[kind] = sum / float64(b.readings)
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

// demandsOf turns rates into demands, by kind.
func (h *history) demandsOf(rates map[string]float64, worths []KindWorth) []KindDemand {
	demands := make([]KindDemand, 0, len(rates))
	for kind, rate := range rates {
		tokens := h.kinds[kind]
		demand := KindDemand{
			Kind: kind, ArrivalsPerSecond: rate, PromptTokens: tokens.prompt * (1 - h.cache.share()),
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

// meanOf joins weighted demands into one.
func meanOf(weighted []weightedDemand) []KindDemand {
	byKind := map[string]*KindDemand{}
	for _, each := range weighted {
		for _, demand := range each.demands {
			if byKind[demand.Kind] == nil {
				joined := demand
				joined.ArrivalsPerSecond = 0
				byKind[demand.Kind] = &joined
			}
			byKind[demand.Kind].ArrivalsPerSecond += each.weight * demand.ArrivalsPerSecond
		}
	}
	mean := make([]KindDemand, 0, len(byKind))
	for _, demand := range byKind {
		mean = append(mean, *demand)
	}
	slices.SortFunc(mean, func(a, b KindDemand) int { return cmp.Compare(a.Kind, b.Kind) })
	return mean
}
