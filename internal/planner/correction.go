package planner

import "time"

const (
	correctionTimeConstant = 40 * time.Second
	mostCorrection         = 2
	// fullShare is the modelled share of the arriving worth from which on the model
	// claims no loss, and the measured one tells nothing about it.
	fullShare = 0.99
)

// correction learns the factor by which what is measurably served exceeds the model's
// rate. It is at least 1: losses beyond the model's may be those of a change under way.
type correction struct {
	factor  float64
	seconds float64 // how long it has been learned for
}

// observe compares the worth served with the model's rate of the present split.
func (c *correction) observe(arriving, lost, modelled float64, elapsed time.Duration) {
	if modelled <= 0 || elapsed <= 0 {
		return
	}
	ratio := 1.0
	if modelled < fullShare*arriving {
		ratio = min(max((arriving-lost)/modelled, 1), mostCorrection)
	}
	// The first seconds count in full, so that a new planner learns fast.
	c.seconds += seconds(elapsed)
	gain := max(gainOf(elapsed, correctionTimeConstant), min(seconds(elapsed)/c.seconds, 1))
	c.factor += gain * (ratio - c.factor)
}

// apply corrects a modelled rate.
func (c *correction) apply(rate, arriving float64) float64 {
	return min(rate*max(c.factor, 1), max(arriving, rate))
}
