package claims

import (
	"errors"
	"time"

	"github.com/hazelpitch/hazelpitch/internal/verdict"
)

// Reasons why a request does not run under a claim.
var (
	// ErrUnreachable: no controller granted or refused the claim in time.
	ErrUnreachable = errors.New("the claim could not be made in time")
	// ErrRefused: the controllers refused the claim as invalid or beyond a bound.
	ErrRefused = errors.New("the claim was refused")
	// ErrFull: the controllers keep no more claims of this tenant, or in all, for now.
	ErrFull = errors.New("too many requests with idempotency keys are remembered")
	// ErrRunning: another sending of this request is running.
	ErrRunning = errors.New("this request is already running")
	// ErrUnknown: another sending of this request may have run; its outcome is lost.
	ErrUnknown = errors.New("this request may have run; its outcome is not known")
	// ErrConflict: the key was used for another request body.
	ErrConflict = errors.New("the idempotency key was used with another body")
)

// Waits that callers are told.
const (
	retryAfterUnreachable = 2 * time.Second
	retryAfterRunning     = time.Second
	retryAfterFull        = 30 * time.Second
)

// Decision is what to do with a request after Begin. Exactly one of Run, Replay
// and Reason is set.
type Decision struct {
	// Run tells that this attempt, and no other, runs the request now.
	Run bool
	// Replay is the recorded outcome of an earlier sending.
	Replay *Outcome
	// Reason says why the request is answered without running it.
	Reason error
	// Verdict goes with the answer when Run is not set.
	Verdict verdict.Verdict
	// RetryAfter is when to come back; 0 when that makes no sense.
	RetryAfter time.Duration
}

// Outcome is the recorded answer of a request that ran.
type Outcome struct {
	Status      int
	ContentType string
	Body        []byte
	// BodyOmitted tells that the body was larger than MaximumOutcomeBytes.
	BodyOmitted bool
}

// AbandonedDecision is the decision about a request whose caller went away, or whose
// gateway stops, before its claim was decided.
func AbandonedDecision() Decision {
	return Decision{Reason: ErrUnreachable, Verdict: verdict.NotRun, RetryAfter: retryAfterUnreachable}
}
