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
	// arrived tells that the request may have reached the back end at all.
	arrived bool
	cause   error
	// retryAfter is how long the back end asked not to be sent requests; 0 when it did not.
	retryAfter time.Duration
	// avoided is how much of a pause of the back end was left when it was sent the request.
	avoided time.Duration
}

// notePauses adds to a line the pauses that stood behind the failure, where there were any.
func (f *failure) notePauses(line *zerolog.Event) {
	if f.retryAfter > 0 {
		line.Int64("retry_after_ms", f.retryAfter.Milliseconds())
	}
	if f.avoided > 0 {
		line.Int64("avoided_ms", f.avoided.Milliseconds())
	}
}

// Error implements error.
func (f *failure) Error() string { return f.verdict.String() + ": " + f.cause.Error() }

// Unwrap returns the cause.
func (f *failure) Unwrap() error { return f.cause }

// failedAnswer is a back end's own failure that may be replaced by another one's answer.
var failedAnswer = failure{verdict: verdict.MayHaveRun, arrived: true, cause: errors.New("the back end answered with a failure")}

// Causes of failures.
var (
	errCancelled    = errors.New("the client has gone")
	errDeadline     = errors.New("the request's time is over")
	errDial         = errors.New("the back end cannot be connected to")
	errStalled      = errors.New("the back end was silent for too long")
	errSilent       = errors.New("the back end's machine has confirmed nothing for too long")
	errBroken       = errors.New("the connection broke before the answer was whole")
	errNoAnswer     = errors.New("the bytes received are no answer")
	errNotExecuted  = errors.New("the back end has not run the request")
	errResting      = errors.New("the back end has asked to be left alone for now")
	errLimited      = errors.New("the back end's limit leaves no room for now")
	errMisdirected  = errors.New("another back end has the address")
	errForeign      = errors.New("the answer belongs to another request")
	errWrongAnswer  = errors.New("the answer does not fit the request")
	errEventTooLong = errors.New("an event is longer than the relay holds")
)
