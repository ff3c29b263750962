package slotqueue

import "time"

// Outcome is the outcome of a request for a slot.
type Outcome int

// Outcomes.
const (
	// Queued means that the request waits; Advance returns its decision.
	Queued Outcome = iota
	// Granted means that the request may be sent to Decision.BackEnd.
	Granted
	// Refused means that the request gets no slot and has not run.
	Refused
)

// Decision is the decision on one request.
type Decision struct {
	ID      RequestID
	Outcome Outcome
	// BackEnd is the hash of the granted back end; Lease is how long the grant is valid unless a report lists it.
	BackEnd uint64
	Lease   time.Duration
	// RetryAfter is when the client of a refused request should return. If Promised is true, a slot is planned for it
	// then; otherwise it is the expected time until a slot is free.
	RetryAfter time.Duration
	Promised   bool
	// Reason is why the request was refused; ReasonNone otherwise.
	Reason Reason
	// Returned is true if the client has returned at the time that it was promised.
	Returned bool
	// Waited is how long the request has been queued.
	Waited time.Duration
	// QueueLength and ExpectedWait are the queued requests and the expected time until a slot, as the decision was made.
	QueueLength  int
	ExpectedWait time.Duration
}
