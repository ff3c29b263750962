package scenario

import "time"

// ShapeType is the form of a change of rate.
type ShapeType string

// Types of shapes. Each gives a factor at each time of the run.
const (
	// ShapeStep is 1 before At, Factor from At until Until.
	ShapeStep ShapeType = "step"
	// ShapeRamp goes from 1 at At to Factor at Until in a straight line, and stays.
	ShapeRamp ShapeType = "ramp"
	// ShapeWave is 1 + Amplitude × sin(2π(t/Period + Phase)).
	ShapeWave ShapeType = "wave"
	// ShapeSquare is High for the first half of each Period and Low for the second.
	ShapeSquare ShapeType = "square"
	// ShapeBurst is Factor from At for Length, again after each Period if it is set.
	ShapeBurst ShapeType = "burst"
	// ShapeDaily goes through Points in straight lines, again after each Period.
	ShapeDaily ShapeType = "daily"
)

// Shape is one change of a kind's rate over time.
type Shape struct {
	Shape ShapeType `yaml:"shape" check:"required,one-of=step|ramp|wave|square|burst|daily"`
	// At is when a step, ramp or burst begins.
	At time.Duration `yaml:"at" check:"not-negative"`
	// Until is when a step or ramp ends; a step without it lasts to the end.
	Until time.Duration `yaml:"until" check:"positive"`
	// Length of a burst.
	Length time.Duration `yaml:"length" check:"positive"`
	// Factor that the rate is multiplied by.
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
