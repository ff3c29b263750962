package history

import "time"

// Limit is a limit, in requests per second for all relays together, that one incarnation of a back end announces from
// a given time on.
type Limit struct {
	Replica string
	At      time.Duration
	// Named is false when the back end withdraws its limit.
	Named     bool
	PerSecond float64
}
