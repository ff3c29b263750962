package scenario

import "time"

// ShapeType is the form of a rate change.
type ShapeType string

// Types of shapes. Each defines a factor for each time of the run.
const (
	// ShapeStep is 1 before At and Factor from At to Until.
	ShapeStep ShapeType = "step"
	// ShapeRamp goes linearly from 1 at At to Factor at Until and stays there.
	ShapeRamp ShapeType = "ramp"
	// ShapeWave is 1 + Amplitude × sin(2π(t/Period + Phase)).
	ShapeWave ShapeType = "wave"
	// ShapeSquare is High for the first half of each Period and Low for the second.
	ShapeSquare ShapeType = "square"
	// ShapeBurst is Factor from At for Length, and repeats after each Period if that is set.
	ShapeBurst ShapeType = "burst"
	// ShapeDaily interpolates linearly between Points and repeats after each Period.
	ShapeDaily ShapeType = "daily"
)

// Shape changes a kind's rate over time.
type Shape struct {
	Shape ShapeType `yaml:"shape" check:"required,one-of=step|ramp|wave|square|burst|daily"`
	// At is the start of a step, ramp or burst.
	At time.Duration `yaml:"at" check:"not-negative"`
	// Until is the end of a step or ramp; a step without it lasts to the end of the run.
	Until time.Duration `yaml:"until" check:"positive"`
	// Length of a burst.
	Length time.Duration `yaml:"length" check:"positive"`
	// Factor by which the rate is multiplied.
	Factor float64 `yaml:"factor" check:"not-negative"`
	// Period of a wave, square, daily or repeated burst.
	Period time.Duration `yaml:"period" check:"positive"`
	// Phase of a wave or square, in periods.
	Phase float64 `yaml:"phase" check:"share"`
	// Amplitude of a wave, 0 to 1.
	Amplitude float64 `yaml:"amplitude" check:"share"`
	// Low and High factors of a square.
	Low  float64 `yaml:"low" check:"not-negative"`
	High float64 `yaml:"high" check:"not-negative"`
	// Points of a daily shape, in order of time.
	Points []Point `yaml:"points"`
}

// Point is the factor at one time of a daily shape.
type Point struct {
	At     time.Duration `yaml:"at" check:"not-negative"`
	Factor float64       `yaml:"factor" check:"not-negative"`
}
