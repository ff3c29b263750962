package relay

import (
	"errors"
	"time"

	"github.com/rs/zerolog"

	"github.com/hazelpitch/hazelpitch/internal/bodybudget"
	"github.com/hazelpitch/hazelpitch/internal/http1/framing"
	"github.com/hazelpitch/hazelpitch/internal/http1/grammar"
	"github.com/hazelpitch/hazelpitch/internal/relay/eventstream"
	"github.com/hazelpitch/hazelpitch/internal/verdict"
)

// failure is an exchange with a back end that brought no answer for the client.
type failure struct {
	// verdict says whether the back end may have run the request.
	verdict verdict.Verdict
	// mayHaveArrived is true if any part of the request may have reached the back end.
	mayHaveArrived bool
	cause          error
	// retryAfter is the backoff that the back end asked for; 0 when it asked for none.
	retryAfter time.Duration
	// backoffLeft is how much longer the back end was to be avoided when the request was sent to it.
	backoffLeft time.Duration
	observation exchangeObservation
}

// addBackoffFields adds the backoff times of the failure to a log line, where they are not 0.
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

// isBroken reports whether the answer broke off, or is none.
func (f *failure) isBroken() bool {
	return errors.Is(f.cause, errConnectionBroken) || errors.Is(f.cause, grammar.ErrMalformed)
}

// addRule adds the rule of HTTP/1.1 that the answer breaks to a log line, if it breaks one.
func (f *failure) addRule(line *zerolog.Event) {
	if rule := grammar.BrokenRule(f.cause); rule != "" {
		line.Str("rule", string(rule))
	}
}

// errorAnswerFailure returns the failure of an exchange that brought a complete error answer, which may be replaced by another back
// end's answer.
func errorAnswerFailure() *failure {
	return &failure{verdict: verdict.MayHaveRun, mayHaveArrived: true, cause: errErrorAnswer}
}

// replacedFailure returns the failure of a message whose back end was silent until another one answered.
func (e *exchanger) replacedFailure(message *message) *failure {
	return &failure{verdict: verdict.MayHaveRun, mayHaveArrived: true, cause: errStalled, observation: e.observe(message)}
}

// Causes of failures.
var (
	errErrorAnswer       = errors.New("the back end answered with a failure")
	errCancelled         = errors.New("the client has gone")
	errDeadline          = errors.New("the request's time is over")
	errDial              = errors.New("the back end cannot be connected to")
	errStalled           = errors.New("the back end was silent for too long")
	errPeerTimeout       = errors.New("the back end's machine has confirmed nothing for too long")
	errConnectionBroken  = errors.New("the connection broke before the answer was whole")
	errNotExecuted       = errors.New("the back end has not run the request")
	errQuarantined       = errors.New(reasonQuarantined)
	errStopping          = errors.New(reasonStopping)
	errInBackoff         = errors.New("the back end has asked to be left alone for now")
	errLimitReached      = errors.New("the back end's limit leaves no room for now")
	errEndsInEvent       = errors.New("the stream ended within an event")
	errMisdirected       = errors.New("another back end has the address")
	errNoReport          = errors.New("the engine refuses to report when it started")
	errOtherIncarnation  = errors.New("the engine has started again, and its software version is not known yet")
	errForeignAnswer     = errors.New("the answer belongs to another request")
	errUnsupportedAnswer = errors.New("the answer does not fit the request")
	errPeerUnable        = errors.New("the other relay cannot serve the request")
)

// failureCauses are the causes by which failed attempts are counted, with their label values.
var failureCauses = []struct {
	cause error
	label string
}{
	{errCancelled, "client_gone"}, {errDeadline, "deadline"}, {errDial, "dial"}, {errStalled, "stalled"}, {errPeerTimeout, "peer_timeout"},
	{errEndsInEvent, "ends_in_event"}, {framing.ErrUndeclaredEnd, "undeclared_end"}, {grammar.ErrMalformed, "malformed"}, {errConnectionBroken, "broken"}, {errNotExecuted, "not_executed"}, {errQuarantined, "quarantined"}, {errInBackoff, "backoff"}, {errStopping, "stopping"}, {errLimitReached, "limit"},
	{errMisdirected, "misdirected"}, {errOtherIncarnation, "other_incarnation"}, {errNoReport, "no_report"}, {errForeignAnswer, "foreign_answer"}, {errUnsupportedAnswer, "unsupported_answer"}, {eventstream.ErrTooLong, "event_too_long"}, {bodybudget.ErrExhausted, "memory"}, {errPeerUnable, "peer_unable"},
}

// otherFailureCause is the label value of causes that are not in failureCauses.
const otherFailureCause = "other"

// causeLabel returns the label value by which the failure is counted.
func (f *failure) causeLabel() string {
	for _, known := range failureCauses {
		if errors.Is(f.cause, known.cause) {
			return known.label
		}
	}
	return otherFailureCause
}

// recordFailedAttempt counts and logs an attempt that brought no answer.
func (r *Relay) recordFailedAttempt(request *request, backEnd *backEnd, fault *failure) {
	r.metrics.failedAttempts.WithLabelValues(fault.causeLabel()).Inc()
	r.log.recordFailedAttempt(request, backEnd, fault)
}
