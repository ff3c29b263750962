package report

import (
	"fmt"
	"slices"
)

// Spread is the median, minimum and maximum of a figure over several seeds.
type Spread struct {
	Median float64 `json:"median"`
	Low    float64 `json:"low"`
	High   float64 `json:"high"`
}

// newSpread returns the spread of values; without values it is zero.
func newSpread(values []float64) Spread {
	if len(values) == 0 {
		return Spread{}
	}
	sorted := slices.Sorted(slices.Values(values))
	middle := len(sorted) / 2
	median := sorted[middle]
	if len(sorted)%2 == 0 {
		median = (sorted[middle-1] + sorted[middle]) / 2
	}
	return Spread{Median: median, Low: sorted[0], High: sorted[len(sorted)-1]}
}

// formatWith formats the median, followed by minimum and maximum if they differ.
func (s Spread) formatWith(one func(float64) string) string {
	if s.Low == s.High {
		return one(s.Median)
	}
	return fmt.Sprintf("%s (%s–%s)", one(s.Median), one(s.Low), one(s.High))
}

func asPercent(share float64) string { return fmt.Sprintf("%.1f%%", 100*share) }

func asCount(value float64) string { return fmt.Sprintf("%.0f", value) }

func asMilliseconds(value float64) string { return fmt.Sprintf("%.0f", value) }
