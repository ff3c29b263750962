package claims

import (
	"time"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/verdict"
)

// FinishOperation records the outcome of a claimed request. Until the outcome is recorded, other
// attempts are answered that the request is running, and after the gateway is known to be lost, that
// it may have run. A FinishOperation that fails is therefore safe.
type FinishOperation struct {
	message  *v1.FinishClaimRequest
	schedule callSchedule
	recorded bool
	ended    bool
}

// NewFinishOperation returns a FinishOperation that records how a claimed request ended. outcome is
// required for verdict.Ran and ignored otherwise.
func NewFinishOperation(config Config, now time.Duration, claim *v1.BeginClaim, result verdict.Verdict, outcome Outcome, controllers []string) *FinishOperation {
	config = config.WithDefaults()
	message := &v1.FinishClaim{Tenant: claim.GetTenant(), Kind: claim.GetKind(), Key: claim.GetKey(), Attempt: claim.GetAttempt()}
	switch {
	case result == verdict.Ran:
		message.Status = uint32(outcome.Status)
		message.ContentType = outcome.ContentType
		message.Body = truncated(outcome.Body)
	case result == verdict.NotRun || !config.Safeguards.IsEnabled(ReleaseOnlyNotRun):
		message.NotRun = true
	default:
		message.MayHaveRun = true
	}
	return &FinishOperation{
		message:  &v1.FinishClaimRequest{Claim: message},
		schedule: newCallSchedule(controllers, config.CallTimeout, now+config.FinishTimeout),
	}
}

// Next returns the next step.
func (f *FinishOperation) Next(now time.Duration) Step {
	f.ended = f.ended || f.recorded || f.schedule.hasEnded(now)
	if f.ended {
		return Step{Done: true}
	}
	return f.schedule.nextStep(now)
}

// Request returns the message to send. It is the same for every call.
func (f *FinishOperation) Request() *v1.FinishClaimRequest { return f.message }

// MarkRecorded records that a controller has confirmed the outcome.
func (f *FinishOperation) MarkRecorded() { f.recorded = true }

// HandleFailure processes a failed call.
func (f *FinishOperation) HandleFailure(now time.Duration, failure Failure) {
	f.ended = f.ended || failure.Permanent
	f.schedule.recordFailure(now, failure.Leader)
}

// IsRecorded reports whether a controller has confirmed the outcome.
func (f *FinishOperation) IsRecorded() bool { return f.recorded }

// truncated cuts a body that is too large to one byte more than controllers store, so that they
// detect the excess and record the body as omitted.
func truncated(body []byte) []byte {
	return body[:min(len(body), MaximumOutcomeBytes+1)]
}
