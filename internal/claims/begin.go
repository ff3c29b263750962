package claims

import (
	"time"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/verdict"
)

// BeginOperation asks for the right to run one request.
type BeginOperation struct {
	config   Config
	claim    *v1.BeginClaim
	resend   resend
	decision *Decision
}

// NewBeginOperation starts to ask. The claim carries an attempt identity that no other
// claim has; controllers are addresses, the leader first when it is known. deadline
// is the request's own, 0 for none.
func NewBeginOperation(config Config, now, deadline time.Duration, claim *v1.BeginClaim, controllers []string) *BeginOperation {
	config = config.WithDefaults()
	limit := config.BeginTimeout
	if deadline != 0 {
		limit = min(limit, (deadline-now)/2)
	}
	return &BeginOperation{
		config: config,
		claim:  claim,
		resend: newResend(controllers, config.CallTimeout, now+limit),
	}
}

// Next says what to do now. When it says Done, Decision holds the result.
func (b *BeginOperation) Next(now time.Duration) Step {
	if b.decision == nil && b.resend.over(now) {
		b.giveUp()
	}
	if b.decision != nil {
		return Step{Done: true}
	}
	return b.resend.step(now)
}

// Request is the message to send. It is the same for each call, so that a resend
// of a claim that was granted is granted again.
func (b *BeginOperation) Request() *v1.BeginClaimRequest {
	return &v1.BeginClaimRequest{Claim: b.claim}
}

// HandleResponse takes in the answer to a call. An answer after the decision changes nothing.
func (b *BeginOperation) HandleResponse(response *v1.BeginClaimResponse) {
	if b.decision == nil || !b.config.Safeguards.IsEnabled(NoLateRun) {
		decision := decide(response)
		b.decision = &decision
	}
}

// HandleFailure takes in that a call brought no answer. The claim may have been granted.
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
	b.resend.failed(now, failure.Leader)
}

// Decision is the result; nil before Next has said Done.
func (b *BeginOperation) Decision() *Decision { return b.decision }

// MustRelease reports whether the claim may be held by this attempt although it
// will not run: then a Finish with the verdict not run has to follow.
func (b *BeginOperation) MustRelease() bool {
	return b.decision != nil && b.decision.Reason == ErrUnreachable
}

// giveUp refuses the request. Its verdict is true: only this attempt could have run
// under the claim, and it never will.
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
	default: // unknown, and states of a later release
		return Decision{Reason: ErrUnknown, Verdict: verdict.MayHaveRun}
	}
}
