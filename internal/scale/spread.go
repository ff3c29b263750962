package scale

import (
	"math"
	"slices"
	"time"
)

// Spread is how long a change took to be in force at the nodes, in seconds since it was
// accepted.
type Spread struct {
	Nodes   int     `json:"nodes"`
	Missing int     `json:"missing"` // running nodes where it is not in force
	P50     float64 `json:"p50"`
	P99     float64 `json:"p99"`
	Max     float64 `json:"max"`
}

// SpreadOf tells how a revision that was accepted at a time spread over the running nodes.
func (f *Fleet) SpreadOf(revision uint64, accepted time.Time) Spread {
	var seconds []float64
	spread := Spread{}
	for _, node := range f.Nodes {
		if node.Control() == nil {
			continue
		}
		at, reached := node.Reached(revision)
		if !reached {
			spread.Missing++
			continue
		}
		seconds = append(seconds, max(at.Sub(accepted).Seconds(), 0))
	}
	spread.Nodes = len(seconds)
	spread.P50, spread.P99, spread.Max = quantile(seconds, 0.5), quantile(seconds, 0.99), quantile(seconds, 1)
	return spread
}

// quantile is the smallest value that covers the share of the values; 0 of none.
func quantile(values []float64, share float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	position := int(math.Ceil(share*float64(len(sorted)))) - 1
	return sorted[max(position, 0)]
}
