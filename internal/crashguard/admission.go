package crashguard

import "time"

// Admission says whether a request may run.
type Admission int

// Admissions.
const (
	// Allowed: the request is like any other.
	Allowed Admission = iota
	// Trial: the request is held, and this attempt alone may be sent to one back end, once.
	Trial
	// Quarantined: the request must not be sent to any back end.
	Quarantined
)

// QuarantineRetryAfter is when a held request may come back: about when the first trial is granted.
const QuarantineRetryAfter = 3 * time.Second
