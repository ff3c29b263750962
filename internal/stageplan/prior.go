package stageplan

import (
	"math"
	"slices"

	"github.com/hazelpitch/hazelpitch/internal/mechanism"
)

// priorPrefill returns the number of prefill engines until the work is known. The prior share is meant for engines of
// average speed: where speeds are known, the fastest engines decode, and so many fewer of them as they are faster.
func (p *Plan) priorPrefill(engines []Engine) int {
	total := len(engines)
	minimum := p.minEngines(total)
	prefill := int(math.Round(min(max(p.config.PriorPrefillShare*float64(total), float64(minimum)), float64(total-minimum))))
	if !p.config.Without.IsEnabled(mechanism.StagesBySpeed) {
		return prefill
	}
	return max(prefill, total-max(decodeEnginesForCapacity(engines, total-prefill), minKeepingEngines(total)))
}

// decodeEnginesForCapacity returns how many of the fastest engines decode as much as the given number of engines of average
// speed; that number itself while the speed of any engine is unknown.
func decodeEnginesForCapacity(engines []Engine, average int) int {
	speeds := make([]float64, 0, len(engines))
	sum := 0.0
	for _, engine := range engines {
		if engine.StepTime <= 0 {
			return average
		}
		speed := 1 / engine.StepTime.Seconds()
		speeds = append(speeds, speed)
		sum += speed
	}
	slices.Sort(speeds)
	slices.Reverse(speeds)
	const roundingTolerance = 1e-9 // relative; sums of the same speeds in another order differ by rounding
	needed := float64(average) * sum / float64(len(speeds)) * (1 - roundingTolerance)
	for index, speed := range speeds {
		if needed -= speed; needed <= 0 {
			return index + 1
		}
	}
	return average
}
