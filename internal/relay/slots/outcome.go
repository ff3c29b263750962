package slots

import "time"

// Kind says how a request for a slot ended. Its values are label values of a metric.
type Kind string

// Kinds of outcomes.
const (
	// Granted: the request may be sent to the granted back end.
	Granted Kind = "granted"
	// Refused: the request gets no slot; its client may return after Outcome.RetryAfter.
	Refused Kind = "refused"
	// Unavailable: neither the owner nor its deputy decides, or there is none. The relay selects a back end by itself.
	Unavailable Kind = "unavailable"
	// Abandoned: the client has disconnected, or its deadline has passed.
	Abandoned Kind = "abandoned"
)

// Outcome is the outcome of a request for a slot.
type Outcome struct {
	Kind Kind
	// RetryAfter is when the client of a refused request should return; Promised is true if a slot is set aside for it then.
	RetryAfter time.Duration
	Promised   bool
}
