package routing

import (
	"math/rand/v2"
	"time"
)

// sampleSpread keeps the weights of near-equal candidates near-equal.
const sampleSpread = 20 * time.Millisecond

// WeightedSample draws candidates at random, cheaper ones more often, and picks
// the cheapest drawn. Gateways that all see the same old load report therefore
// spread over the good back ends and do not all rush to the best.
type WeightedSample struct {
	random *rand.Rand
	size   int
}

// NewWeightedSample returns a picker that draws size candidates.
func NewWeightedSample(seed uint64, size int) *WeightedSample {
	return &WeightedSample{random: rand.New(rand.NewPCG(seed, uint64(size))), size: size}
}

// Pick implements Picker.
func (w *WeightedSample) Pick(_ *Decision, scored []ScoredCandidate) int {
	least := scored[LowestCost{}.Pick(nil, scored)].Cost
	total := 0.0
	for i := range scored {
		total += weight(scored[i].Cost - least)
	}
	chosen := -1
	for range w.size {
		drawn := draw(scored, least, w.random.Float64()*total)
		if chosen < 0 || scored[drawn].Cost < scored[chosen].Cost {
			chosen = drawn
		}
	}
	return chosen
}

// draw returns the index at which the running sum of weights passes target.
func draw(scored []ScoredCandidate, least time.Duration, target float64) int {
	for i := range scored {
		target -= weight(scored[i].Cost - least)
		if target < 0 {
			return i
		}
	}
	return len(scored) - 1
}

// weight falls with the cost above the least cost.
func weight(excess time.Duration) float64 {
	ratio := 1 + float64(excess)/float64(sampleSpread)
	return 1 / (ratio * ratio)
}
