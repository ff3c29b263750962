package limits

import (
	"errors"
	"fmt"
	"time"
)

// Reasons for a refusal. A refused request has not run.
var (
	// ErrTokenLimit: the tenant has used up its tokens at this gateway for now.
	ErrTokenLimit = errors.New("token limit reached")
	// ErrConcurrencyLimit: the tenant has as many requests in flight as its share allows.
	ErrConcurrencyLimit = errors.New("concurrency limit reached")
	// ErrNoShare: the gateway holds no share of the limit because the controllers granted none or
	// cannot be reached.
	ErrNoShare = errors.New("no share of the limit at this gateway")
	// ErrTooManyTenants: more tenants have requests in flight than the gateway has accounts for.
	ErrTooManyTenants = errors.New("too many tenants at this gateway")
)

// ErrWaiting reports that the request is neither started nor refused: it waits for a larger share.
var ErrWaiting = errors.New("the request waits for a share of the limit")

// Refusal reports why a request may not start and when to retry. Its text reveals nothing about
// other tenants.
type Refusal struct {
	Reason     error
	RetryAfter time.Duration
	// wait is the time until the current share has yielded the missing tokens.
	wait time.Duration
}

// Error returns the reason and the time after which to retry.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%v; retry after %v", r.Reason, r.RetryAfter.Round(time.Second))
}

// Unwrap returns the reason.
func (r *Refusal) Unwrap() error { return r.Reason }
