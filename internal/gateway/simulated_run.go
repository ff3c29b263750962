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

// SimulatedRequest is a request whose run at an engine is simulated: all decisions on it are made and take effect, but
// no engine is called.
type SimulatedRequest struct {
	// KeyHash is the SHA-256 of the caller's API key, in lower-case hex.
	KeyHash string
	// Kind is the declared kind of the request.
	Kind string
	// Prompt is the text that prefix affinity hashes.
	Prompt string
	// PromptTokens and OutputTokens are the numbers of tokens reported as used at the end.
	PromptTokens int
	OutputTokens int
	// IdempotencyKey is the key under which a non-repeatable request is claimed; empty means no claim.
	IdempotencyKey string
}

// SimulatedRun is a simulated request that was admitted, claimed and routed. Complete must be called once.
type SimulatedRun struct {
	// BackEnd is the name of the engine that routing chose to decode, Zone its zone.
	BackEnd string
	Zone    string
	// PrefillZone is the zone of the engine that runs the prefill and transfers its KV cache;
	// it is empty when BackEnd runs both stages.
	PrefillZone string

	control  *Control
	request  SimulatedRequest
	tenant   *gatewaystate.Tenant
	target   target
	slot     *admissionSlot
	exchange string
	claim    *v1.BeginClaim
}

// BeginSimulatedRun authenticates, admits, claims and routes a request as the request path does: it charges the
// tenant's limit, claims the idempotency key and counts as a request at the chosen back ends. The error is the refusal
// that a caller would receive.
func (c *Control) BeginSimulatedRun(request SimulatedRequest) (*SimulatedRun, error) {
	arrival := c.clock.now()
	tenant, fault := c.tenantOfKey(request.KeyHash)
	if fault != nil {
		return nil, fault
	}
	kind, fault := resolveKind(c.view.snapshot.Load(), request.Kind, "")
	if fault != nil {
		return nil, fault
	}
	run := &SimulatedRun{control: c, request: request, tenant: tenant, target: target{kind: kind, name: kind.Model}}
	deadline := arrival + kind.Deadline()
	interrupter := &upstream.Interrupter{}
	body := &chatRequest{prompt: []byte(request.Prompt), maximumTokens: request.OutputTokens}
	shape := run.target.shape(tenant, body)
	routingRequest := run.target.routingRequest(tenant, body, c.admitter.estimate(shape))
	routingRequest.Deadline = deadline
	run.slot, fault = c.admitter.admit(run.admissionRequest(shape, deadline), interrupter)
	if fault != nil {
		run.record(outcomeOf(fault))
		return nil, fault
	}
	if err := run.begin(routingRequest, deadline, interrupter); err != nil {
		run.slot.finish(admission.Result{Failed: true})
		return nil, trace.Wrap(err)
	}
	return run, nil
}

// begin claims the request and picks its back ends.
func (r *SimulatedRun) begin(routingRequest routing.Request, deadline time.Duration, interrupter *upstream.Interrupter) error {
	if r.request.IdempotencyKey != "" && !r.target.kind.Spec.GetRepeatable() {
		claim := r.control.claimer.claim(r.tenant, r.target.kind, r.request.IdempotencyKey, []byte(r.request.Prompt))
		decision := r.control.claimer.begin(claim, deadline, interrupter)
		if !decision.Run {
			return refuseClaim(decision)
		}
		r.claim = claim
	}
	choice, err := r.control.dispatcher.pick(routingRequest, nil)
	if err != nil {
		r.finishClaim(verdict.NotRun)
		return refusePick(err)
	}
	r.BackEnd, r.Zone, r.exchange = choice.BackEnd.Name, choice.BackEnd.Zone, upstream.NewExchange()
	prefillEngine := r.BackEnd
	if choice.Prefill != nil {
		prefillEngine, r.PrefillZone = choice.Prefill.Name, choice.Prefill.Zone
		r.control.dispatcher.observe(routing.Dispatch{BackEnd: r.BackEnd, Exchange: r.exchange})
	}
	prefillExchange := upstream.NewExchange()
	if choice.Prefill == nil {
		prefillExchange = r.exchange
	}
	r.control.dispatcher.observe(routing.Dispatch{
		BackEnd: prefillEngine, Exchange: prefillExchange, PromptTokens: max(r.request.PromptTokens-choice.CachedTokens, 0),
		PrefixBlocks: routingRequest.PrefixBlocks, CachedAtHome: choice.CachedAtHome,
	})
	if choice.Prefill != nil { // a simulated run completes the prefill at once
		r.control.dispatcher.observe(routing.Completion{BackEnd: prefillEngine, Exchange: prefillExchange, PromptTokens: r.request.PromptTokens})
	}
	return nil
}

// Complete reports the request as completed and records its outcome.
func (r *SimulatedRun) Complete() {
	r.control.dispatcher.observe(routing.Completion{BackEnd: r.BackEnd, Exchange: r.exchange, PromptTokens: r.request.PromptTokens})
	r.slot.finish(admission.Result{PromptTokens: r.request.PromptTokens, OutputTokens: r.request.OutputTokens})
	r.finishClaim(verdict.Ran)
	r.record(gatewaystate.Outcome{Completed: true})
}

func (r *SimulatedRun) finishClaim(runVerdict verdict.Verdict) {
	if r.claim == nil {
		return
	}
	outcome := claims.Outcome{}
	if runVerdict == verdict.Ran {
		outcome = claims.Outcome{Status: 200, ContentType: contentTypeJSON, Body: []byte(strings.Repeat("x", r.request.OutputTokens))}
	}
	r.control.claimer.finish(r.claim, runVerdict, outcome)
}

func (r *SimulatedRun) record(outcome gatewaystate.Outcome) {
	outcome.Service, outcome.Kind = r.target.kind.Spec.GetService(), r.target.kind.Name
	outcome.PromptTokens, outcome.OutputTokens = uint64(r.request.PromptTokens), uint64(r.request.OutputTokens)
	r.control.view.trySend(recordOutcome{outcome: outcome})
}

func (r *SimulatedRun) admissionRequest(shape admission.RequestShape, deadline time.Duration) admissionRequest {
	return admissionRequest{
		service: r.target.kind.Spec.GetService(), shape: shape, limit: tenantLimit(r.tenant),
		request: admission.Request{
			Tenant: r.tenant.Name, Weight: r.tenant.Spec.GetWeight(), Worth: r.target.kind.Spec.GetWorth(),
			PromptTokens: r.request.PromptTokens, OutputTokens: r.request.OutputTokens, Bytes: int64(len(r.request.Prompt)),
			Deadline: deadline, MinimumTime: time.Duration(r.request.OutputTokens) * fastestTokenInterval,
		},
	}
}
