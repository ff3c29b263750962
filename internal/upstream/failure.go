package upstream

import (
	"errors"

	"github.com/hazelpitch/hazelpitch/internal/verdict"
)

// Failure is an exchange that brought no answer that may be used.
type Failure struct {
	// Verdict says whether the back end may have run the request.
	Verdict verdict.Verdict
	// Status and Code are those of the back end's refusal; zero when there was none.
	Status int
	Code   string
	// RetryAfterSeconds is the back end's wish; 0 when it had none.
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
	// ErrForeignAnswer tells that the answer does not belong to the exchange.
	ErrForeignAnswer = errors.New("answer does not echo the exchange")
	// ErrRefused tells that the back end refused the request.
	ErrRefused = errors.New("refused by the back end")
	// ErrTruncated tells that the answer ended too early.
	ErrTruncated = errors.New("answer is truncated")
	// ErrInterrupted tells that the gateway itself broke the exchange off.
	ErrInterrupted = errors.New("exchange was interrupted")
	// ErrDeadline tells that the deadline had passed before anything was sent.
	ErrDeadline = errors.New("deadline has passed")
)
