package gateway

import (
	"strings"
	"time"

	"github.com/gravitational/trace"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/admission"
	"github.com/hazelpitch/hazelpitch/internal/claims"
	"github.com/hazelpitch/hazelpitch/internal/gatewaystate"
	"github.com/hazelpitch/hazelpitch/internal/routing"
	"github.com/hazelpitch/hazelpitch/internal/upstream"
	"github.com/hazelpitch/hazelpitch/internal/verdict"
)

// DryRunRequest is a request of which only the decisions are made: no engine is called.
type DryRunRequest struct {
	// KeyHash is the SHA-256 of the caller's API key, in lower-case hex.
	KeyHash string
	// Kind is the declared kind of the request.
	Kind string
	// Prompt is what prefix affinity hashes.
	Prompt string
	// PromptTokens and OutputTokens are what the request uses in the end.
	PromptTokens int
	OutputTokens int
	// IdempotencyKey claims a request of a kind that is not repeatable; empty claims nothing.
	IdempotencyKey string
}

// DryRun is a trial that was admitted, claimed and given a back end. It is ended once.
type DryRun struct {
	// BackEnd is the name of the engine that routing chose to answer, Zone its zone.
	BackEnd string
	Zone    string
	// PrefillZone is the zone of the engine that reads the prompt and hands its KV cache
	// over; empty when BackEnd does everything.
	PrefillZone string

	control  *Control
	trial    DryRunRequest
	tenant   *gatewaystate.Tenant
	target   target
	place    *ticket
	exchange string
	claim    *v1.BeginClaim
}

// BeginDryRun authenticates, admits, claims and routes as the request path does. The error
// is the refusal that a caller would get.
func (c *Control) BeginDryRun(trial DryRunRequest) (*DryRun, error) {
	arrival := c.clock.now()
	tenant, fault := c.tenantOfKey(trial.KeyHash)
	if fault != nil {
		return nil, fault
	}
	kind, fault := resolveKind(c.view.snapshot.Load(), trial.Kind, "")
	if fault != nil {
		return nil, fault
	}
	run := &DryRun{control: c, trial: trial, tenant: tenant, target: target{kind: kind, name: kind.Model}}
	deadline := arrival + kind.Deadline()
	interrupter := &upstream.Interrupter{}
	request := &chatRequest{prompt: []byte(trial.Prompt), maximumTokens: trial.OutputTokens}
	shape := run.target.shape(tenant, request)
	routed := run.target.routingRequest(tenant, request, c.admitter.estimate(shape))
	routed.Deadline = deadline
	run.place, fault = c.admitter.admit(run.admissionRequest(shape, deadline), interrupter)
	if fault != nil {
		run.record(outcomeOf(fault))
		return nil, fault
	}
	if err := run.begin(routed, deadline, interrupter); err != nil {
		run.place.finish(admission.Result{Failed: true})
		return nil, trace.Wrap(err)
	}
	return run, nil
}

// begin claims the request and picks its back end.
func (r *DryRun) begin(routed routing.Request, deadline time.Duration, interrupter *upstream.Interrupter) error {
	if r.trial.IdempotencyKey != "" && !r.target.kind.Spec.GetRepeatable() {
		claim := r.control.claimer.claim(r.tenant, r.target.kind, r.trial.IdempotencyKey, []byte(r.trial.Prompt))
		decision := r.control.claimer.begin(claim, deadline, interrupter)
		if !decision.Run {
			return refuseClaim(decision)
		}
		r.claim = claim
	}
	choice, err := r.control.dispatcher.pick(routed, nil)
	if err != nil {
		r.finishClaim(verdict.NotRun)
		return refusePick(err)
	}
	r.BackEnd, r.Zone, r.exchange = choice.BackEnd.Name, choice.BackEnd.Zone, upstream.NewExchange()
	reader := r.BackEnd
	if choice.Prefill != nil {
		reader, r.PrefillZone = choice.Prefill.Name, choice.Prefill.Zone
		r.control.dispatcher.observe(routing.Dispatch{BackEnd: r.BackEnd, Exchange: r.exchange})
	}
	prompt := upstream.NewExchange()
	if choice.Prefill == nil {
		prompt = r.exchange
	}
	r.control.dispatcher.observe(routing.Dispatch{
		BackEnd: reader, Exchange: prompt, PromptTokens: max(r.trial.PromptTokens-choice.CachedTokens, 0),
		PrefixBlocks: routed.PrefixBlocks, CachedAtHome: choice.CachedAtHome,
	})
	if choice.Prefill != nil { // the prompt is read at once here
		r.control.dispatcher.observe(routing.Completion{BackEnd: reader, Exchange: prompt, PromptTokens: r.trial.PromptTokens})
	}
	return nil
}

// Complete reports the request as completed.
func (r *DryRun) Complete() {
	r.control.dispatcher.observe(routing.Completion{BackEnd: r.BackEnd, Exchange: r.exchange, PromptTokens: r.trial.PromptTokens})
	r.place.finish(admission.Result{PromptTokens: r.trial.PromptTokens, OutputTokens: r.trial.OutputTokens})
	r.finishClaim(verdict.Ran)
	r.record(gatewaystate.Outcome{Completed: true})
}

func (r *DryRun) finishClaim(ended verdict.Verdict) {
	if r.claim == nil {
		return
	}
	outcome := claims.Outcome{}
	if ended == verdict.Ran {
		outcome = claims.Outcome{Status: 200, ContentType: contentTypeJSON, Body: []byte(strings.Repeat("x", r.trial.OutputTokens))}
	}
	r.control.claimer.finish(r.claim, ended, outcome)
}

func (r *DryRun) record(outcome gatewaystate.Outcome) {
	outcome.Service, outcome.Kind = r.target.kind.Spec.GetService(), r.target.kind.Name
	outcome.PromptTokens, outcome.OutputTokens = uint64(r.trial.PromptTokens), uint64(r.trial.OutputTokens)
	r.control.view.offer(recordOutcome{outcome: outcome})
}

func (r *DryRun) admissionRequest(shape admission.RequestShape, deadline time.Duration) admissionRequest {
	return admissionRequest{
		service: r.target.kind.Spec.GetService(), shape: shape, limit: tenantLimit(r.tenant),
		request: admission.Request{
			Tenant: r.tenant.Name, Weight: r.tenant.Spec.GetWeight(), Worth: r.target.kind.Spec.GetWorth(),
			PromptTokens: r.trial.PromptTokens, OutputTokens: r.trial.OutputTokens, Bytes: int64(len(r.trial.Prompt)),
			Deadline: deadline, MinimumTime: time.Duration(r.trial.OutputTokens) * fastestTokenInterval,
		},
	}
}
