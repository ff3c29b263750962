package history

import "time"

// Limit is what a start of a back end names from a time on for all relays together, in requests a second.
type Limit struct {
	Replica string
	At      time.Duration
	// Named is false where it names none any more.
	Named     bool
	PerSecond float64
}
