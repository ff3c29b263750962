package gateway

import (
	"net/http"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/hazelpitch/hazelpitch/internal/admission"
	"github.com/hazelpitch/hazelpitch/internal/bodybudget"
	"github.com/hazelpitch/hazelpitch/internal/gatewaystate"
	"github.com/hazelpitch/hazelpitch/internal/quarantine"
	"github.com/hazelpitch/hazelpitch/internal/upstream"
	"github.com/hazelpitch/hazelpitch/internal/verdict"
)

// pageRequest runs one plain HTTP request over as many exchanges as its kind allows.
type pageRequest struct {
	gateway     *Gateway
	kind        *gatewaystate.Kind
	tenant      *gatewaystate.Tenant
	message     upstream.Request
	deadline    time.Duration
	interrupter *upstream.Interrupter
	excluded    []string
	attempts    attempts
	mayHaveRun  bool
	watch       *callerWatch
	// key is the caller's idempotency key; it is empty when there is none.
	key string
	// content identifies equal requests for the quarantine. isTrial is set for a quarantined request that may
	// be sent to one back end once.
	content quarantine.Content
	isTrial bool
}

// pageAnswer is the complete answer of a page service.
type pageAnswer struct {
	status  int
	headers []upstream.Header
	body    []byte
	// memory is the reservation for the body; nil for none.
	memory *bodybudget.Reservation
}

// servePage answers a request whose path belongs to a kind that a page service answers.
func (g *Gateway) servePage(context *fasthttp.RequestCtx) {
	arrival := g.clock.now()
	page, fault := g.admitPage(context, arrival)
	if fault != nil {
		g.refuse(context, fault.beforeClaim(idempotencyKey(context)))
		return
	}
	page.watch = g.callerWatcher.watch(context.Conn(), page.interrupter)
	defer page.watch.stop()
	slot, fault := g.admitter.admit(page.admissionRequest(), page.interrupter)
	if fault != nil {
		g.recordPage(page, outcomeOf(fault))
		g.refuse(context, fault.beforeClaim(claimKey(page.kind, page.key)))
		return
	}
	answer, fault := page.runClaimed()
	slot.finish(admission.Result{Failed: fault != nil})
	if fault != nil {
		g.recordPage(page, outcomeOf(fault))
		g.refuse(context, fault)
		return
	}
	g.recordPage(page, gatewaystate.Outcome{Completed: true})
	g.metrics.answer(answer.status, verdict.Ran)
	context.Response.SetStatusCode(answer.status)
	for _, header := range answer.headers {
		context.Response.Header.Set(header.Name, header.Value)
	}
	context.Response.Header.Set(verdict.Header, verdict.Ran.String())
	setBody(&context.Response, answer.body, answer.memory)
}

// admitPage checks a request and prepares it. It sends nothing yet.
func (g *Gateway) admitPage(context *fasthttp.RequestCtx, arrival time.Duration) (*pageRequest, *refusal) {
	path := string(context.URI().PathOriginal())
	if fault := checkPath(path); fault != nil {
		return nil, fault
	}
	tenant, fault := g.authenticate(&context.Request.Header)
	if fault != nil {
		return nil, fault
	}
	kind, ok := g.view.snapshot.Load().KindByPath(path)
	if !ok {
		return nil, refuse(http.StatusNotFound, typeInvalidRequest, codeUnknownKind, "no kind of request has this path")
	}
	g.retries.earn()
	page := &pageRequest{
		gateway: g, kind: kind, tenant: tenant, deadline: deadlineOf(kind, arrival), interrupter: &upstream.Interrupter{},
		key: idempotencyKey(context),
	}
	page.message = upstream.Request{
		Method:      string(context.Method()),
		Target:      pageTarget(context),
		Headers:     passedHeaders(&context.Request.Header),
		Body:        append([]byte(nil), context.PostBody()...),
		Deadline:    g.clock.time(page.deadline),
		Interrupter: page.interrupter,
	}
	page.content = quarantine.ContentOf(tenant.Name, page.message.Method, page.message.Target, page.message.Body, nil)
	if page.isTrial, fault = g.checkQuarantine(page.content); fault != nil {
		return nil, fault
	}
	return page, nil
}

// admissionRequest returns the input of the admission decision.
func (p *pageRequest) admissionRequest() admissionRequest {
	return admissionRequest{
		service: p.kind.Spec.GetService(),
		limit:   tenantLimit(p.tenant),
		request: admission.Request{
			Tenant:       p.tenant.Name,
			Class:        p.kind.Name,
			Priority:     p.kind.Spec.GetPriority(),
			Weight:       p.tenant.Spec.GetWeight(),
			Worth:        p.kind.Spec.GetWorth(),
			OutputTokens: 1,
			Bytes:        int64(len(p.message.Body)),
			Deadline:     p.deadline,
		},
	}
}

func (g *Gateway) recordPage(page *pageRequest, outcome gatewaystate.Outcome) {
	outcome.Service = page.kind.Spec.GetService()
	outcome.Kind = page.kind.Name
	g.view.trySend(recordOutcome{outcome: outcome})
}
