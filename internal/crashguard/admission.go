package crashguard

import "time"

// Admission reports whether a request may run.
type Admission int

// Admission values.
const (
	// Allowed: the request may run.
	Allowed Admission = iota
	// Trial: the request is quarantined, and only this attempt may be sent to one back end, once.
	Trial
	// Quarantined: the request must not be sent to any back end.
	Quarantined
)

// QuarantineRetryAfter is the Retry-After of a quarantined request: about the time until its first trial.
const QuarantineRetryAfter = 3 * time.Second
