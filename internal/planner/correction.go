package planner

import "time"

const (
	correctionTimeConstant = 40 * time.Second
	maxCorrection          = 2
	// noLossShare is the modelled share of the arriving worth from which on the model predicts no loss. A
	// measured loss then says nothing about the model's error.
	noLossShare = 0.99
)

// correction estimates the factor by which the measured rate of completed worth exceeds the rate of the model. The
// factor applied is at least 1: losses beyond the model's may be due to a change in progress.
type correction struct {
	factor          float64
	observedSeconds float64 // total time of the observations
}

// observe updates the factor from the worth arriving and lost and the model's rate for the current split.
func (c *correction) observe(arriving, lost, modelled float64, elapsed time.Duration) {
	if modelled <= 0 || elapsed <= 0 {
		return
	}
	ratio := 1.0
	if modelled < noLossShare*arriving {
		ratio = min(max((arriving-lost)/modelled, 1), maxCorrection)
	}
	// The first seconds have a higher weight, so that a new planner converges fast.
	c.observedSeconds += seconds(elapsed)
	gain := max(smoothingGain(elapsed, correctionTimeConstant), min(seconds(elapsed)/c.observedSeconds, 1))
	c.factor += gain * (ratio - c.factor)
}

// apply returns a modelled rate of completed worth, raised by the factor but not beyond the worth that arrives.
func (c *correction) apply(rate, arriving float64) float64 {
	return min(rate*max(c.factor, 1), max(arriving, rate))
}
