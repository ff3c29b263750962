package scenario

import (
	"math"
	"math/rand/v2"

	"gonum.org/v1/gonum/stat/distuv"
)

// sampler draws token counts.
type sampler func() int

// sampler returns a function that draws token counts from the distribution, with the given random source.
func (d Distribution) sampler(source rand.Source) sampler {
	var draw func() float64
	switch d.Law {
	case LawUniform:
		// Half a token on each side makes every integer in the range equally likely.
		draw = distuv.Uniform{Min: float64(d.Low) - 0.5, Max: float64(d.High) + 0.5, Src: source}.Rand
	case LawNormal:
		draw = distuv.Normal{Mu: d.Mean, Sigma: d.Deviation, Src: source}.Rand
	case LawLogNormal:
		// Converts mean and deviation of the tokens to those of their logarithm.
		variance := math.Log1p(d.Deviation * d.Deviation / (d.Mean * d.Mean))
		draw = distuv.LogNormal{Mu: math.Log(d.Mean) - variance/2, Sigma: math.Sqrt(variance), Src: source}.Rand
	case LawExponential:
		draw = distuv.Exponential{Rate: 1 / d.Mean, Src: source}.Rand
	default:
		return func() int { return d.Value }
	}
	return func() int { return d.clamp(draw()) }
}

// clamp rounds a sample and limits it to the distribution's Low and High, where they are set, and to at least 1.
func (d Distribution) clamp(value float64) int {
	tokens := int(math.Round(min(value, math.MaxInt32)))
	if d.High > 0 {
		tokens = min(tokens, d.High)
	}
	return max(tokens, d.Low, 1)
}

// byWeight returns a function that draws indexes in proportion to their weights.
func byWeight(weights []float64, source rand.Source) func() int {
	if len(weights) <= 1 {
		return func() int { return 0 }
	}
	law := distuv.NewCategorical(weights, source)
	return func() int { return int(law.Rand()) }
}

// zipfWeights returns the weights 1/i^skew for i from 1 to count.
func zipfWeights(count int, skew float64) []float64 {
	weights := make([]float64, count)
	for index := range weights {
		weights[index] = math.Pow(float64(index+1), -skew)
	}
	return weights
}
