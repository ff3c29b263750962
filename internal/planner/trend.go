package planner

import "time"

// Time constants of the trend and bounds of its forecast.
const (
	fastTimeConstant = 6 * time.Second
	slowTimeConstant = 20 * time.Second
	// minTrendAge is how long a rate must have been observed before its slope is meaningful.
	minTrendAge = 20 * time.Second
	// forecastLead is how far ahead the forecast looks: the age of the reported demand plus half the duration of a
	// usual change.
	forecastLead = 12 * time.Second
	// maxGrowth bounds a forecast as a factor of the current rate.
	maxGrowth = 1.5
)

// trend follows a rate by two moving averages with different time constants; their difference is its slope.
type trend struct {
	fast float64
	slow float64
	// age is how long the rate has been observed.
	age      time.Duration
	hasValue bool
}

func (t *trend) observe(rate float64, elapsed time.Duration) {
	if !t.hasValue {
		t.hasValue, t.fast, t.slow = true, rate, rate
		return
	}
	t.age += elapsed
	if t.age < minTrendAge { // the first report may cover only a part of its window
		t.slow = t.fast
	}
	t.fast += smoothingGain(elapsed, fastTimeConstant) * (rate - t.fast)
	t.slow += smoothingGain(elapsed, slowTimeConstant) * (rate - t.slow)
}

// forecast returns the rate expected forecastLead from now.
func (t *trend) forecast() float64 {
	slope := (t.fast - t.slow) / seconds(slowTimeConstant-fastTimeConstant)
	ahead := t.fast + slope*seconds(fastTimeConstant+forecastLead)
	return min(max(ahead, t.fast/maxGrowth), t.fast*maxGrowth)
}
