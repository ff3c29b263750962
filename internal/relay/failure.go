package relay

import (
	"errors"
	"time"

	"github.com/rs/zerolog"

	"github.com/hazelpitch/hazelpitch/internal/verdict"
)

// failure is an exchange that brought no answer for the client.
type failure struct {
	// verdict says whether the back end may have run the request.
	verdict verdict.Verdict
	// mayHaveArrived tells that the request may have reached the back end at all.
	mayHaveArrived bool
	cause          error
	// retryAfter is how long the back end asked not to be sent requests; 0 when it did not.
	retryAfter time.Duration
	// backoffLeft is how much of a pause of the back end was left when it was sent the request.
	backoffLeft time.Duration
}

// addBackoffFields adds to a line the pauses that stood behind the failure, where there were any.
func (f *failure) addBackoffFields(line *zerolog.Event) {
	if f.retryAfter > 0 {
		line.Int64("retry_after_ms", f.retryAfter.Milliseconds())
	}
	if f.backoffLeft > 0 {
		line.Int64("avoided_ms", f.backoffLeft.Milliseconds())
	}
}

// Error implements error.
func (f *failure) Error() string { return f.verdict.String() + ": " + f.cause.Error() }

// Unwrap returns the cause.
func (f *failure) Unwrap() error { return f.cause }

// backEndErrorAnswer is a back end's own failure that may be replaced by another one's answer.
var backEndErrorAnswer = failure{verdict: verdict.MayHaveRun, mayHaveArrived: true, cause: errors.New("the back end answered with a failure")}

// Causes of failures.
var (
	errCancelled         = errors.New("the client has gone")
	errDeadline          = errors.New("the request's time is over")
	errDial              = errors.New("the back end cannot be connected to")
	errStalled           = errors.New("the back end was silent for too long")
	errPeerTimeout       = errors.New("the back end's machine has confirmed nothing for too long")
	errConnectionBroken  = errors.New("the connection broke before the answer was whole")
	errMalformedAnswer   = errors.New("the bytes received are no answer")
	errNotExecuted       = errors.New("the back end has not run the request")
	errInBackoff         = errors.New("the back end has asked to be left alone for now")
	errLimitReached      = errors.New("the back end's limit leaves no room for now")
	errMisdirected       = errors.New("another back end has the address")
	errForeignAnswer     = errors.New("the answer belongs to another request")
	errUnsupportedAnswer = errors.New("the answer does not fit the request")
	errEventTooLong      = errors.New("an event is longer than the relay holds")
)
