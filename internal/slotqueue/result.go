package slotqueue

import "time"

// Result is how a back end has served a request.
type Result struct {
	// ServiceTime is how long the back end worked on the request; 0 if it did not run there.
	ServiceTime time.Duration
	// Slowdown is how long work takes at the back end in multiples of the usual time; 0 if unknown.
	Slowdown float64
	// TurnedAway is true if the back end turned the request away for lack of capacity.
	TurnedAway bool
}
