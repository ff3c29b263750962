package gateway

import (
	"context"
	"crypto/sha256"
	"errors"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/claims"
	"github.com/hazelpitch/hazelpitch/internal/gatewaystate"
	"github.com/hazelpitch/hazelpitch/internal/safeguard"
	"github.com/hazelpitch/hazelpitch/internal/upstream"
	"github.com/hazelpitch/hazelpitch/internal/verdict"
)

const (
	// claimLifetime is how long controllers keep a claim and its outcome.
	claimLifetime = time.Hour
	// maximumFinishes bounds the outcomes that are recorded concurrently.
	maximumFinishes = 1024
	// finishSlotTimeout bounds the wait for a slot to record an outcome. After it the outcome is not recorded,
	// and resends are answered that the request may have run.
	finishSlotTimeout = time.Second
)

// claimer calls the controllers to acquire and finish claims. It is safe for concurrent use.
type claimer struct {
	clock       clock
	controllers *controllers
	identity    *v1.NodeIdentity
	config      claims.Config
	finishSlots chan struct{}
	finishes    sync.WaitGroup
}

func newClaimer(clock clock, controllers *controllers, identity *v1.NodeIdentity, safeguards safeguard.Set) *claimer {
	return &claimer{config: claims.Config{Safeguards: safeguards}, clock: clock, controllers: controllers, identity: identity, finishSlots: make(chan struct{}, maximumFinishes)}
}

// claim returns the claim of one attempt of a request, to pass to begin and finish. content is everything that two
// requests with the same idempotency key must have in common.
func (c *claimer) claim(tenant *gatewaystate.Tenant, kind *gatewaystate.Kind, key string, content ...[]byte) *v1.BeginClaim {
	hash := sha256.New()
	for _, part := range content {
		hash.Write(part)
		hash.Write([]byte{0})
	}
	return &v1.BeginClaim{
		Tenant:             tenant.Name,
		Kind:               kind.Name,
		Key:                key,
		BodyHash:           hash.Sum(nil),
		Gateway:            c.identity.GetName(),
		GatewayIncarnation: c.identity.GetIncarnation(),
		Attempt:            upstream.NewExchange(),
		ExpiresAtMs:        time.Now().Add(claimLifetime).UnixMilli(),
	}
}

// begin requests the right to run a request. It blocks until a controller has decided, the deadline is too near
// or the caller disconnects.
func (c *claimer) begin(claim *v1.BeginClaim, deadline time.Duration, interrupter *upstream.Interrupter) claims.Decision {
	begin := claims.NewBeginOperation(c.config, c.clock.now(), deadline, claim, c.controllers.candidates(true))
	for {
		step := begin.Next(c.clock.now())
		switch {
		case step.Done:
			if begin.MustRelease() {
				c.finish(claim, verdict.NotRun, claims.Outcome{})
			}
			return *begin.Decision()
		case interrupter.Interrupted():
			c.finish(claim, verdict.NotRun, claims.Outcome{})
			return claims.AbandonedDecision()
		case step.Call != "":
			c.callBegin(begin, step)
		default:
			time.Sleep(step.Wait - c.clock.now())
		}
	}
}

func (c *claimer) callBegin(begin *claims.BeginOperation, step claims.Step) {
	limited, cancel := context.WithTimeout(context.Background(), step.Timeout)
	defer cancel()
	response, err := c.controllers.client(step.Call).BeginClaim(limited, connect.NewRequest(begin.Request()))
	if err != nil {
		begin.HandleFailure(c.clock.now(), c.parseFailure(err))
		return
	}
	c.controllers.setLeader(step.Call)
	begin.HandleResponse(response.Msg)
}

// finish records how a claimed request ended. It blocks at most for finishSlotTimeout; the calls run in the
// background.
func (c *claimer) finish(claim *v1.BeginClaim, runVerdict verdict.Verdict, outcome claims.Outcome) {
	finish := claims.NewFinishOperation(c.config, c.clock.now(), claim, runVerdict, outcome, c.controllers.candidates(true))
	timer := time.NewTimer(finishSlotTimeout)
	defer timer.Stop()
	select {
	case c.finishSlots <- struct{}{}:
	case <-timer.C:
		return
	}
	c.finishes.Go(func() {
		defer func() { <-c.finishSlots }()
		c.record(finish)
	})
}

func (c *claimer) record(finish *claims.FinishOperation) {
	for {
		step := finish.Next(c.clock.now())
		switch {
		case step.Done:
			return
		case step.Call != "":
			c.callFinish(finish, step)
		default:
			time.Sleep(step.Wait - c.clock.now())
		}
	}
}

func (c *claimer) callFinish(finish *claims.FinishOperation, step claims.Step) {
	limited, cancel := context.WithTimeout(context.Background(), step.Timeout)
	defer cancel()
	if _, err := c.controllers.client(step.Call).FinishClaim(limited, connect.NewRequest(finish.Request())); err != nil {
		finish.HandleFailure(c.clock.now(), c.parseFailure(err))
		return
	}
	finish.MarkRecorded()
}

// parseFailure returns what the error of a failed call says about the leader and about whether to retry.
func (c *claimer) parseFailure(err error) claims.Failure {
	var callError *connect.Error
	if !errors.As(err, &callError) {
		return claims.Failure{}
	}
	leader := callError.Meta().Get(v1.HeaderLeaderAddress)
	if leader != "" {
		c.controllers.setLeader(leader)
	}
	switch callError.Code() {
	case connect.CodeInvalidArgument, connect.CodePermissionDenied, connect.CodeUnimplemented:
		return claims.Failure{Leader: leader, Permanent: true}
	case connect.CodeResourceExhausted:
		return claims.Failure{Leader: leader, OverCapacity: true}
	default:
		return claims.Failure{Leader: leader}
	}
}

// runInBackground runs work that a stopping gateway waits for.
func (c *claimer) runInBackground(work func()) { c.finishes.Go(work) }

// waitForFinishes waits until every outcome has been recorded or given up. It reports false when the context ended
// first. Resends under a claim without an outcome are answered that the request may have run.
func (c *claimer) waitForFinishes(ctx context.Context) bool {
	done := make(chan struct{})
	go func() {
		c.finishes.Wait()
		close(done)
	}()
	select {
	case <-done:
		return true
	case <-ctx.Done():
		return false
	}
}

// refuseClaim converts a decision not to run a request into the refusal for the caller.
func refuseClaim(decision claims.Decision) *refusal {
	status, code := http.StatusServiceUnavailable, codeClaimUnreachable
	switch {
	case errors.Is(decision.Reason, claims.ErrRunning):
		status, code = http.StatusConflict, codeStillRunning
	case errors.Is(decision.Reason, claims.ErrUnknown):
		status, code = http.StatusConflict, codeOutcomeUnknown
	case errors.Is(decision.Reason, claims.ErrConflict):
		status, code = http.StatusUnprocessableEntity, codeKeyReused
	case errors.Is(decision.Reason, claims.ErrRefused) || errors.Is(decision.Reason, claims.ErrFull):
		code = codeClaimRefused
	}
	fault := refuse(status, typeInvalidRequest, code, decision.Reason.Error()).after(decision.RetryAfter)
	fault.verdict = decision.Verdict
	if code == codeClaimUnreachable || code == codeClaimRefused {
		return fault.mayHaveRun() // no controller confirmed that no earlier attempt ran
	}
	return fault
}
