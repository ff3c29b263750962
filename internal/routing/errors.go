package routing

import (
	"errors"
	"fmt"
	"time"
)

// Reasons why nothing fits a request. A PickError wraps exactly one of them.
var (
	// ErrNoBackEnd: no back end of the service has the model, version and adapter.
	ErrNoBackEnd = errors.New("no back end serves this model")
	// ErrNoneConfirmed: back ends exist, but none is confirmed to be serving.
	ErrNoneConfirmed = errors.New("no back end is confirmed to be serving")
	// ErrAllExcluded: every serving back end has failed this request or is cooling down.
	ErrAllExcluded = errors.New("every serving back end has failed lately")
	// ErrAllInBackoff: every back end that serves has asked to be left alone for now.
	ErrAllInBackoff = errors.New("every serving back end has asked to be left alone for now")
	// ErrAllLimited: no back end that serves has room by the limit that it names for all gateways together.
	ErrAllLimited = errors.New("the limits of the serving back ends leave no room for now")
	// ErrInfeasible: no back end can finish before the deadline.
	ErrInfeasible = errors.New("no back end can finish before the deadline")
)

// PickError says why no back end was chosen. Nothing was sent, so the request has
// not run. The text names the service only, never a tenant or another's load.
type PickError struct {
	Reason  error
	Service string
	// RetryAfter is when a new try may succeed; 0 when unknown.
	RetryAfter time.Duration
}

// Error implements error.
func (e *PickError) Error() string {
	return fmt.Sprintf("service %q: %v", e.Service, e.Reason)
}

// Unwrap returns the reason.
func (e *PickError) Unwrap() error { return e.Reason }
