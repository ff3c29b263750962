package claims

import (
	"time"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/verdict"
)

// BeginOperation requests the right to run one request.
type BeginOperation struct {
	config   Config
	claim    *v1.BeginClaim
	schedule callSchedule
	decision *Decision
}

// NewBeginOperation returns a new BeginOperation. claim must have a unique attempt identity.
// controllers are addresses, with the leader first if it is known. deadline is that of the
// request, 0 for none.
func NewBeginOperation(config Config, now, deadline time.Duration, claim *v1.BeginClaim, controllers []string) *BeginOperation {
	config = config.WithDefaults()
	limit := config.BeginTimeout
	if deadline != 0 {
		limit = min(limit, (deadline-now)/2)
	}
	return &BeginOperation{
		config:   config,
		claim:    claim,
		schedule: newCallSchedule(controllers, config.CallTimeout, now+limit),
	}
}

// Next returns the next step. After a step with Done, Decision returns the result.
func (b *BeginOperation) Next(now time.Duration) Step {
	if b.decision == nil && b.schedule.hasEnded(now) {
		b.giveUp()
	}
	if b.decision != nil {
		return Step{Done: true}
	}
	return b.schedule.nextStep(now)
}

// Request returns the message to send. It is the same for every call, so that a resend of a claim
// that was granted is granted again.
func (b *BeginOperation) Request() *v1.BeginClaimRequest {
	return &v1.BeginClaimRequest{Claim: b.claim}
}

// HandleResponse processes the response to a call. A response after the decision has no effect.
func (b *BeginOperation) HandleResponse(response *v1.BeginClaimResponse) {
	if b.decision == nil || !b.config.Safeguards.IsEnabled(NoLateRun) {
		decision := decide(response)
		b.decision = &decision
	}
}

// HandleFailure processes a failed call. The claim may nevertheless have been granted.
func (b *BeginOperation) HandleFailure(now time.Duration, failure Failure) {
	if b.decision != nil {
		return
	}
	if failure.Permanent {
		b.decision = &Decision{Reason: ErrRefused, Verdict: verdict.NotRun}
		return
	}
	if failure.OverCapacity {
		b.decision = &Decision{Reason: ErrFull, Verdict: verdict.NotRun, RetryAfter: retryAfterFull}
		return
	}
	b.schedule.recordFailure(now, failure.Leader)
}

// Decision returns the result; nil until Next has returned Done.
func (b *BeginOperation) Decision() *Decision { return b.decision }

// MustRelease reports whether this attempt may hold the claim although it will not run. A
// FinishOperation with the verdict NotRun must then follow.
func (b *BeginOperation) MustRelease() bool {
	return b.decision != nil && b.decision.Reason == ErrUnreachable
}

// giveUp refuses the request because no controller answered in time. The verdict NotRun is correct: only this attempt
// could have run under the claim, and it never will.
func (b *BeginOperation) giveUp() {
	if !b.config.Safeguards.IsEnabled(GrantRequired) {
		b.decision = &Decision{Run: true}
		return
	}
	abandoned := AbandonedDecision()
	b.decision = &abandoned
}

func decide(response *v1.BeginClaimResponse) Decision {
	switch response.GetState() {
	case v1.ClaimState_CLAIM_STATE_GRANTED:
		return Decision{Run: true}
	case v1.ClaimState_CLAIM_STATE_FINISHED:
		return Decision{Verdict: verdict.Ran, Replay: &Outcome{
			Status:      int(response.GetStatus()),
			ContentType: response.GetContentType(),
			Body:        response.GetBody(),
			BodyOmitted: response.GetBodyOmitted(),
		}}
	case v1.ClaimState_CLAIM_STATE_RUNNING:
		return Decision{Reason: ErrRunning, Verdict: verdict.MayHaveRun, RetryAfter: retryAfterRunning}
	case v1.ClaimState_CLAIM_STATE_CONFLICT:
		return Decision{Reason: ErrConflict, Verdict: verdict.NotRun}
	default: // unknown states, including those of newer versions
		return Decision{Reason: ErrUnknown, Verdict: verdict.MayHaveRun}
	}
}
