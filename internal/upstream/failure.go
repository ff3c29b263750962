package upstream

import (
	"errors"

	"github.com/hazelpitch/hazelpitch/internal/verdict"
)

// Failure is the error of an exchange that returned no usable answer.
type Failure struct {
	// Verdict states whether the back end may have run the request.
	Verdict verdict.Verdict
	// Status and Code are those of the back end's refusal; zero if there was none.
	Status int
	Code   string
	// RetryAfterSeconds is the delay that the back end asked for; 0 if it did not ask.
	RetryAfterSeconds int
	Cause             error
}

// Error implements error.
func (f *Failure) Error() string {
	return "exchange failed (" + f.Verdict.String() + "): " + f.Cause.Error()
}

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.Cause }

// Causes of failures.
var (
	// ErrForeignAnswer means that the answer does not belong to the exchange.
	ErrForeignAnswer = errors.New("answer does not echo the exchange")
	// ErrRefused means that the back end refused the request.
	ErrRefused = errors.New("refused by the back end")
	// ErrTruncated means that the answer ended before its declared end.
	ErrTruncated = errors.New("answer is truncated")
	// ErrInterrupted means that the gateway itself interrupted the exchange.
	ErrInterrupted = errors.New("exchange was interrupted")
	// ErrDeadline means that the deadline had passed before any byte was sent.
	ErrDeadline = errors.New("deadline has passed")
)
