package slotqueue

import "time"

// earliestTime holds the minimum of the times that are added to it.
type earliestTime struct {
	at    time.Duration
	found bool
}

func (e *earliestTime) add(at time.Duration) {
	if !e.found || at < e.at {
		e.at, e.found = at, true
	}
}
