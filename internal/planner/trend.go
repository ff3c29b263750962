package planner

import "time"

// Time constants of the trend, and how far ahead it is followed: the age of the demand
// that reports tell, and half of a usual change.
const (
	fastTimeConstant = 6 * time.Second
	slowTimeConstant = 20 * time.Second
	// settled is how long a rate has been followed before its slope means anything.
	settled      = 20 * time.Second
	forecastLead = 12 * time.Second
	// mostGrowth bounds a forecast as a factor of the present rate.
	mostGrowth = 1.5
)

// trend follows one rate by two means of different age; their distance is its slope.
type trend struct {
	fast float64
	slow float64
	// followed is how long the rate has been observed.
	followed time.Duration
	begun    bool
}

func (t *trend) observe(rate float64, elapsed time.Duration) {
	if !t.begun {
		t.begun, t.fast, t.slow = true, rate, rate
		return
	}
	t.followed += elapsed
	if t.followed < settled { // a first reading may tell of a part of the window only
		t.slow = t.fast
	}
	t.fast += gainOf(elapsed, fastTimeConstant) * (rate - t.fast)
	t.slow += gainOf(elapsed, slowTimeConstant) * (rate - t.slow)
}

// forecast is the rate expected forecastLead after now.
func (t *trend) forecast() float64 {
	slope := (t.fast - t.slow) / seconds(slowTimeConstant-fastTimeConstant)
	ahead := t.fast + slope*seconds(fastTimeConstant+forecastLead)
	return min(max(ahead, t.fast/mostGrowth), t.fast*mostGrowth)
}
