package fleetlimit

import "time"

const (
	// pressedSpan is how long a request that was denied holds less urgent ones back: about as long as its process waits
	// until it asks again.
	pressedSpan = 2 * time.Second
	// leftForUrgent is how many tokens less urgent requests leave in the bucket meanwhile.
	leftForUrgent = 1
	// urgentInARow is how many permits go to pressing requests before a less urgent one gets its turn: three quarters
	// of what is allowed go by urgency, so that no kind of request gets nothing.
	urgentInARow = 3
)

// order lets urgent requests go first when not all can be served. The zero value has seen none.
type order struct {
	// deniedAt is when a request of each rank was denied last; 0 is never.
	deniedAt [RankCount]time.Duration
	// inARow counts the permits for pressing requests since a less urgent one had its turn.
	inARow int
}

// leaves is how many tokens a request of a rank must leave for more urgent ones.
func (o *order) leaves(now time.Duration, rank int) float64 {
	if o.inARow >= urgentInARow || !o.pressed(now, rank) {
		return 0
	}
	return leftForUrgent
}

// pressed reports whether a more urgent request was denied lately.
func (o *order) pressed(now time.Duration, rank int) bool {
	for _, deniedAt := range o.deniedAt[:rank] {
		if deniedAt > 0 && now-deniedAt < pressedSpan {
			return true
		}
	}
	return false
}

// granted notes a permit.
func (o *order) granted(now time.Duration, rank int) {
	if o.pressed(now, rank) {
		o.inARow = 0
		return
	}
	if o.deniedAt[rank] > 0 && now-o.deniedAt[rank] < pressedSpan {
		o.inARow = min(o.inARow+1, urgentInARow)
	}
}

// denied notes that a request was not let through.
func (o *order) denied(now time.Duration, rank int) { o.deniedAt[rank] = max(now, 1) }
