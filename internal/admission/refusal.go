package admission

import (
	"errors"
	"time"
)

// Reasons for a refusal. A refused request has not run.
var (
	// ErrQueueFull: the queue is full and this request was worth least per token.
	ErrQueueFull = errors.New("too many requests are waiting")
	// ErrDeadline: the request would start too late to meet its deadline.
	ErrDeadline = errors.New("the deadline cannot be met")
	// ErrTooLarge: the request alone exceeds Config.QueueBytes.
	ErrTooLarge = errors.New("the request is too large to wait")
	// ErrDuplicate: a request with this ID is already waiting or in flight.
	ErrDuplicate = errors.New("a request with this identity is already here")
)

// Refusal reports that a request was refused. The request has not run; its caller must be
// answered immediately.
type Refusal struct {
	ID     uint64
	Reason error
	// RetryAfter is how long the caller should wait before it retries; 0 if a retry is pointless.
	RetryAfter time.Duration
}
