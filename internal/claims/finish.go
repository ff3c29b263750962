package claims

import (
	"time"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/verdict"
)

// FinishOperation records the outcome of a claimed request. Until it is recorded other
// sendings are told that the request is running, and once the gateway is known to
// be lost that it may have run: a FinishOperation that fails is safe.
type FinishOperation struct {
	message  *v1.FinishClaimRequest
	resend   resend
	recorded bool
	over     bool
}

// NewFinishOperation starts to record how a claimed request ended. outcome is needed for
// verdict.Ran and ignored otherwise.
func NewFinishOperation(config Config, now time.Duration, claim *v1.BeginClaim, ended verdict.Verdict, outcome Outcome, controllers []string) *FinishOperation {
	config = config.WithDefaults()
	message := &v1.FinishClaim{Tenant: claim.GetTenant(), Kind: claim.GetKind(), Key: claim.GetKey(), Attempt: claim.GetAttempt()}
	switch {
	case ended == verdict.Ran:
		message.Status = uint32(outcome.Status)
		message.ContentType = outcome.ContentType
		message.Body = bounded(outcome.Body)
	case ended == verdict.NotRun || !config.Safeguards.IsEnabled(ReleaseOnlyNotRun):
		message.NotRun = true
	default:
		message.MayHaveRun = true
	}
	return &FinishOperation{
		message: &v1.FinishClaimRequest{Claim: message},
		resend:  newResend(controllers, config.CallTimeout, now+config.FinishTimeout),
	}
}

// Next says what to do now.
func (f *FinishOperation) Next(now time.Duration) Step {
	f.over = f.over || f.recorded || f.resend.over(now)
	if f.over {
		return Step{Done: true}
	}
	return f.resend.step(now)
}

// Request is the message to send, the same for each call.
func (f *FinishOperation) Request() *v1.FinishClaimRequest { return f.message }

// MarkRecorded takes in that the outcome is recorded.
func (f *FinishOperation) MarkRecorded() { f.recorded = true }

// HandleFailure takes in that a call brought no answer.
func (f *FinishOperation) HandleFailure(now time.Duration, failure Failure) {
	f.over = f.over || failure.Permanent
	f.resend.failed(now, failure.Leader)
}

// IsRecorded reports whether a controller has confirmed the outcome.
func (f *FinishOperation) IsRecorded() bool { return f.recorded }

// bounded cuts a body that is too large to one byte more than controllers keep:
// they see that it is too large and record that it was left out.
func bounded(body []byte) []byte {
	return body[:min(len(body), MaximumOutcomeBytes+1)]
}
