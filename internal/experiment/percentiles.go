package experiment

import (
	"slices"
	"time"
)

// PercentilesOf returns the percentiles of durations in milliseconds. It sorts values.
func PercentilesOf(values []time.Duration) Percentiles {
	if len(values) == 0 {
		return Percentiles{}
	}
	slices.Sort(values)
	at := func(quantile float64) float64 {
		return float64(values[int(quantile*float64(len(values)-1))]) / float64(time.Millisecond)
	}
	return Percentiles{Count: len(values), P50: at(0.5), P90: at(0.9), P99: at(0.99), Max: at(1)}
}
