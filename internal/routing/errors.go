package routing

import (
	"errors"
	"fmt"
	"time"
)

// Reasons why no back end was chosen. A PickError wraps exactly one of them.
var (
	// ErrNoBackEnd means that no back end of the service has the model, version and adapter.
	ErrNoBackEnd = errors.New("no back end serves this model")
	// ErrNoneConfirmed means that back ends with the model exist, but none is confirmed to be serving.
	ErrNoneConfirmed = errors.New("no back end is confirmed to be serving")
	// ErrAllExcluded means that every serving back end has failed this request or is in its cooldown.
	ErrAllExcluded = errors.New("every serving back end has failed lately")
	// ErrAllInBackoff means that every serving back end has asked for backoff.
	ErrAllInBackoff = errors.New("every serving back end has asked to be left alone for now")
	// ErrAllLimited means that the limits that serving back ends set for all gateways together leave no room.
	ErrAllLimited = errors.New("the limits of the serving back ends leave no room for now")
	// ErrInfeasible means that no back end can finish before the deadline.
	ErrInfeasible = errors.New("no back end can finish before the deadline")
)

// PickError says why no back end was chosen. Nothing was sent, so the request has not run. Its text names only
// the service, never a tenant or the load of others.
type PickError struct {
	Reason  error
	Service string
	// RetryAfter is when a retry may succeed; 0 if unknown.
	RetryAfter time.Duration
}

// Error implements error.
func (e *PickError) Error() string {
	return fmt.Sprintf("service %q: %v", e.Service, e.Reason)
}

// Unwrap returns the reason.
func (e *PickError) Unwrap() error { return e.Reason }
