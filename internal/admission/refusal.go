package admission

import (
	"errors"
	"time"
)

// Reasons of refusals. A refused request has not run.
var (
	// ErrQueueFull: the queue is full and this request was worth least.
	ErrQueueFull = errors.New("too many requests are waiting")
	// ErrDeadline: the request would start too late to meet its deadline.
	ErrDeadline = errors.New("the deadline cannot be met")
	// ErrTooLarge: the request alone is larger than the queue's memory.
	ErrTooLarge = errors.New("the request is too large to wait")
	// ErrDuplicate: a request with this ID is waiting or in flight.
	ErrDuplicate = errors.New("a request with this identity is already here")
)

// Refusal tells that a request was given up on. It has not run; its caller must be
// answered at once.
type Refusal struct {
	ID     uint64
	Reason error
	// RetryAfter is when a new try may succeed; 0 when it makes no sense.
	RetryAfter time.Duration
}
