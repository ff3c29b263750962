package limits

import (
	"errors"
	"fmt"
	"time"
)

// Reasons of refusals. A refused request has not run.
var (
	// ErrTokenLimit: the tenant's tokens at this gateway are used up for now.
	ErrTokenLimit = errors.New("token limit reached")
	// ErrConcurrencyLimit: the tenant has as many requests in flight as it may.
	ErrConcurrencyLimit = errors.New("concurrency limit reached")
	// ErrNoShare: the gateway holds no share of the limit: the controllers gave none
	// or cannot be reached.
	ErrNoShare = errors.New("no share of the limit at this gateway")
	// ErrTooManyTenants: more tenants have requests in flight than the gateway can remember.
	ErrTooManyTenants = errors.New("too many tenants at this gateway")
)

// ErrWaiting: the request is neither started nor refused; it waits for a larger share.
var ErrWaiting = errors.New("the request waits for a share of the limit")

// Refusal says why a request may not start and when to come back. Its text names
// nothing of other tenants.
type Refusal struct {
	Reason     error
	RetryAfter time.Duration
	// wait is the time until the present share has yielded the tokens.
	wait time.Duration
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%v; retry after %v", r.Reason, r.RetryAfter.Round(time.Second))
}

// Unwrap returns the reason.
func (r *Refusal) Unwrap() error { return r.Reason }
