package claims

import (
	"errors"
	"time"

	"github.com/hazelpitch/hazelpitch/internal/verdict"
)

// Reasons why a request is not run under its claim.
var (
	// ErrUnreachable: no controller granted or refused the claim in time.
	ErrUnreachable = errors.New("the claim could not be made in time")
	// ErrRefused: the controllers refused the claim as invalid or as exceeding a limit.
	ErrRefused = errors.New("the claim was refused")
	// ErrFull: the controllers accept no more claims for now, from this tenant or at all.
	ErrFull = errors.New("too many requests with idempotency keys are remembered")
	// ErrRunning: another attempt of this request is running.
	ErrRunning = errors.New("this request is already running")
	// ErrUnknown: another attempt of this request may have run; its outcome is lost.
	ErrUnknown = errors.New("this request may have run; its outcome is not known")
	// ErrConflict: the key was used with another request body.
	ErrConflict = errors.New("the idempotency key was used with another body")
)

// Values of Retry-After for callers whose request is not run.
const (
	retryAfterUnreachable = 2 * time.Second
	retryAfterRunning     = time.Second
	retryAfterFull        = 30 * time.Second
)

// Decision is the result of a BeginOperation. Exactly one of Run, Replay and Reason is set.
type Decision struct {
	// Run is true if this attempt, and no other, runs the request now.
	Run bool
	// Replay is the recorded outcome of an earlier attempt.
	Replay *Outcome
	// Reason is why the request is answered without being run.
	Reason error
	// Verdict is sent with the answer if Run is not set.
	Verdict verdict.Verdict
	// RetryAfter is how long the caller should wait before it retries; 0 if a retry is pointless.
	RetryAfter time.Duration
}

// Outcome is the recorded response of a request that ran.
type Outcome struct {
	Status      int
	ContentType string
	Body        []byte
	// BodyOmitted is true if the body was larger than MaximumOutcomeBytes.
	BodyOmitted bool
}

// AbandonedDecision returns the decision for a request whose caller disconnected, or whose gateway
// stops, before its claim was decided.
func AbandonedDecision() Decision {
	return Decision{Reason: ErrUnreachable, Verdict: verdict.NotRun, RetryAfter: retryAfterUnreachable}
}
