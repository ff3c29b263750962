package placement

import (
	"time"

	"github.com/hazelpitch/hazelpitch/internal/serving"
)

// Engine is what is known of one back end of a service at the time of a decision.
type Engine struct {
	// Hash identifies the back end, the same at every relay.
	Hash  uint64
	Zone  string
	Stage serving.Stage
	// Slots is how many requests it runs at once.
	Slots int
	// Closed back ends take no new work: they leave, change their stage or were tried already.
	Closed bool
	// AvoidUntil is the time before which the back end is taken only when no other is left;
	// Failures counts the exchanges in a row that broke or stalled.
	AvoidUntil time.Duration
	Failures   int
	// Work is that of all relays, as far as they have told.
	Work Work
	// Running is the number of requests at a back end that answers whole.
	Running int
	// Connected tells that the deciding relay has a connection to it that can carry the request.
	Connected bool
	// PerToken is how long it takes for the first token of a prompt as a prefill engine.
	PerToken time.Duration
	// Cached is how much of the request's prompt it has.
	Cached CachedPrefix
}
