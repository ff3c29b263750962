package routing

import (
	"math/rand/v2"
	"time"
)

// sampleCostScale is the cost difference below which candidates have nearly equal weights.
const sampleCostScale = 20 * time.Millisecond

// WeightedSample draws candidates at random, cheaper ones more often, and picks the cheapest of them. Gateways that
// all use the same outdated load report therefore spread over the good back ends instead of all picking the best.
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
	lowest := scored[LowestCost{}.Pick(nil, scored)].Cost
	total := 0.0
	for i := range scored {
		total += sampleWeight(scored[i].Cost - lowest)
	}
	chosen := -1
	for range w.size {
		drawn := sampleIndex(scored, lowest, w.random.Float64()*total)
		if chosen < 0 || scored[drawn].Cost < scored[chosen].Cost {
			chosen = drawn
		}
	}
	return chosen
}

// sampleIndex returns the index at which the running sum of the weights exceeds target, a random part of their total.
// lowest is the lowest cost.
func sampleIndex(scored []ScoredCandidate, lowest time.Duration, target float64) int {
	for i := range scored {
		target -= sampleWeight(scored[i].Cost - lowest)
		if target < 0 {
			return i
		}
	}
	return len(scored) - 1
}

// sampleWeight returns the weight of a candidate whose cost exceeds the lowest one by excess: the more, the smaller.
func sampleWeight(excess time.Duration) float64 {
	ratio := 1 + float64(excess)/float64(sampleCostScale)
	return 1 / (ratio * ratio)
}
