package returnplan

import "time"

// demandByRank estimates the callers of each rank per second.
type demandByRank [rankCount]demand

// before returns the demand of all callers that come before this rank.
func (d *demandByRank) before(now time.Duration, limit rank) float64 {
	sum := 0.0
	for i := range d[:limit] {
		sum += d[i].at(now)
	}
	return sum
}
