package scenario

import (
	"math"
	"time"
)

// RateAt returns the arrivals of the kind per second, over all zones, at a time of the run.
// It does not include arrivals from a trace.
func (k Kind) RateAt(at time.Duration) float64 {
	rate := k.Arrivals.Rate
	for _, shape := range k.Mix {
		rate *= shape.FactorAt(at)
	}
	return rate
}

// FactorAt returns the shape's factor of the rate at a time of the run; it is not negative.
func (s Shape) FactorAt(at time.Duration) float64 {
	switch s.Shape {
	case ShapeStep:
		if at < s.At || (s.Until > 0 && at >= s.Until) {
			return 1
		}
		return s.Factor
	case ShapeRamp:
		done := float64(at-s.At) / float64(s.Until-s.At)
		return 1 + (s.Factor-1)*min(max(done, 0), 1)
	case ShapeWave:
		return 1 + s.Amplitude*math.Sin(2*math.Pi*s.periodsAt(at))
	case ShapeSquare:
		if _, part := math.Modf(s.periodsAt(at)); part < 0.5 {
			return s.High
		}
		return s.Low
	case ShapeBurst:
		return s.burstAt(at)
	case ShapeDaily:
		return s.dailyAt(at)
	}
	return 1
}

// periodsAt returns the number of periods since the start, including the phase.
func (s Shape) periodsAt(at time.Duration) float64 {
	return at.Seconds()/s.Period.Seconds() + s.Phase
}

func (s Shape) burstAt(at time.Duration) float64 {
	since := at - s.At
	if since < 0 {
		return 1
	}
	if s.Period > 0 {
		since %= s.Period
	}
	if since >= s.Length {
		return 1
	}
	return s.Factor
}

// dailyAt interpolates linearly between the points, and from the last point to the first
// point of the next period.
func (s Shape) dailyAt(at time.Duration) float64 {
	at %= s.Period
	last := s.Points[len(s.Points)-1]
	before := Point{At: last.At - s.Period, Factor: last.Factor}
	after := Point{At: s.Points[0].At + s.Period, Factor: s.Points[0].Factor}
	for _, point := range s.Points {
		if point.At > at {
			after = point
			break
		}
		before = point
	}
	done := float64(at-before.At) / float64(after.At-before.At)
	return before.Factor + (after.Factor-before.Factor)*done
}
