package placement

import (
	"time"

	"github.com/hazelpitch/hazelpitch/internal/serving"
)

// Engine is the state of one back end of a service, as the deciding process knows it at the time of a decision.
type Engine struct {
	// Hash identifies the back end; it is the same at every relay.
	Hash  uint64
	Zone  string
	Stage serving.Stage
	// Slots is the number of requests that the back end runs at once.
	Slots int
	// Closed back ends accept no new work: they leave, change their stage or were already tried.
	Closed bool
	// AvoidUntil is the time before which the back end is picked only if no other is left. Failures counts
	// consecutive exchanges that broke or stalled.
	AvoidUntil time.Duration
	Failures   int
	// Work is the work that the requests of all relays cause at the back end, as far as relays have reported it.
	Work Work
	// Running is the number of requests running at a back end that answers whole requests.
	Running int
	// Connected is true if the deciding relay has an open connection that can carry the request.
	Connected bool
	// PerToken is how long the engine takes, as a prefill engine, to prefill the first token of a prompt.
	PerToken time.Duration
	// StepTime is the usual time of one decode step with the streams that run at the engine and one more; 0 if it is not
	// known or not to be used.
	StepTime time.Duration
	// Slowdown is the time that work takes at the engine now, as a multiple of its usual time, and PeakSlowdown the
	// multiple that engines of the service reach at times; 0 stands for 1.
	Slowdown, PeakSlowdown float64
	// Cached is the part of the request's prompt that the engine has cached.
	Cached CachedPrefix
}

// slowdown returns the time that work takes at the engine now, as a multiple of its usual time.
func (e Engine) slowdown() float64 {
	if e.Slowdown <= 0 {
		return 1
	}
	return e.Slowdown
}

// tokenTime returns how long the engine takes now, as a prefill engine, to prefill the first token of a prompt.
func (e Engine) tokenTime() time.Duration { return scale(e.PerToken, e.slowdown()) }
