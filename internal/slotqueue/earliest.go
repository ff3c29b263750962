package slotqueue

import "time"

// earliest is the earliest of the times that are added to it.
type earliest struct {
	at    time.Duration
	found bool
}

func (e *earliest) add(at time.Duration) {
	if !e.found || at < e.at {
		e.at, e.found = at, true
	}
}
