package gateway

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/hazelpitch/hazelpitch/internal/admission"
	"github.com/hazelpitch/hazelpitch/internal/claims"
	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
	"github.com/hazelpitch/hazelpitch/internal/gatewaystate"
	"github.com/hazelpitch/hazelpitch/internal/routing"
	"github.com/hazelpitch/hazelpitch/internal/upstream"
	"github.com/hazelpitch/hazelpitch/internal/verdict"
)

// passedRequestHeaders go from the caller to a page service, and no others.
var passedRequestHeaders = []string{
	"Content-Type", "Accept", "Accept-Language", enginecontract.HeaderIdempotencyKey,
}

// passedResponseHeaders go from a page service to the caller, and no others.
var passedResponseHeaders = []string{
	"Content-Type", "Content-Language", "Cache-Control", "Etag", "Last-Modified", "Location",
}

// pageRequest runs one plain HTTP request over as many exchanges as its kind allows.
type pageRequest struct {
	gateway     *Gateway
	kind        *gatewaystate.Kind
	tenant      *gatewaystate.Tenant
	message     upstream.Request
	deadline    time.Duration
	interrupter *upstream.Interrupter
	excluded    []string
	exchanges   int
	mayHaveRun  bool
	watch       *callerWatch
	// key is the caller's idempotency key; empty when there is none.
	key string
}

// pageAnswer is the whole answer of a page service.
type pageAnswer struct {
	status  int
	headers []upstream.Header
	body    []byte
}

// servePage answers a request whose path belongs to a page kind.
func (g *Gateway) servePage(context *fasthttp.RequestCtx) {
	arrival := g.clock.now()
	page, fault := g.admitPage(context, arrival)
	if fault != nil {
		g.refuse(context, fault.beforeClaim(idempotencyKey(context)))
		return
	}
	page.watch = g.callers.watch(context.Conn(), page.interrupter)
	defer page.watch.end()
	place, fault := g.admitter.admit(page.admissionRequest(), page.interrupter)
	if fault != nil {
		g.recordPage(page, outcomeOf(fault))
		g.refuse(context, fault.beforeClaim(page.claimKey()))
		return
	}
	answer, fault := page.runClaimed()
	place.finish(admission.Result{Failed: fault != nil})
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
	context.Response.SetBody(answer.body)
}

// admitPage checks a request; nothing is sent yet.
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
	deadline := kind.Deadline()
	if deadline == 0 {
		deadline = defaultDeadline
	}
	g.retries.earn()
	page := &pageRequest{
		gateway: g, kind: kind, tenant: tenant, deadline: arrival + deadline, interrupter: &upstream.Interrupter{},
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
	return page, nil
}

// pageTarget returns path and query as the caller sent them.
func pageTarget(context *fasthttp.RequestCtx) string {
	target := string(context.URI().PathOriginal())
	if query := context.URI().QueryString(); len(query) > 0 {
		target += "?" + string(query)
	}
	return target
}

func passedHeaders(header *fasthttp.RequestHeader) []upstream.Header {
	var passed []upstream.Header
	for _, name := range passedRequestHeaders {
		if value := header.Peek(name); len(value) > 0 {
			passed = append(passed, upstream.Header{Name: name, Value: string(value)})
		}
	}
	return passed
}

// checkPath refuses paths that a page service might read otherwise than the gateway.
func checkPath(path string) *refusal {
	lower := strings.ToLower(path)
	for _, ambiguous := range []string{"//", "/./", "/../", "\\", "%2f", "%5c", "%2e", "%00", "%0d", "%0a"} {
		if strings.Contains(lower+"/", ambiguous) {
			return refuse(http.StatusBadRequest, typeInvalidRequest, codeInvalidPath, "the path is ambiguous")
		}
	}
	if !strings.HasPrefix(path, "/") {
		return refuse(http.StatusBadRequest, typeInvalidRequest, codeInvalidPath, "the path must begin with a slash")
	}
	return nil
}

// claimKey returns the key under which the request is claimed; empty when it is not.
func (p *pageRequest) claimKey() string {
	if p.kind.Spec.GetRepeatable() {
		return ""
	}
	return p.key
}

// runClaimed runs the request; one that may run at most once and carries a key runs only
// under a claim. Without a key it is sent once, and only a true "not run" is sent again.
func (p *pageRequest) runClaimed() (*pageAnswer, *refusal) {
	if p.kind.Spec.GetRepeatable() || p.key == "" || !p.gateway.safeguards.On(ClaimBeforeRun) {
		return p.run()
	}
	claimer := p.gateway.claimer
	claim := claimer.claim(p.tenant, p.kind, p.key, []byte(p.message.Method), []byte(p.message.Target), p.message.Body)
	decision := claimer.begin(claim, p.deadline, p.interrupter)
	switch {
	case decision.Replay != nil:
		return replayedPage(decision.Replay), nil
	case !decision.Run:
		return nil, refuseClaim(decision)
	}
	// The outcome is worth recording also when the caller goes away: it will ask again.
	p.watch.end()
	answer, fault := p.run()
	if fault != nil {
		claimer.finish(claim, fault.verdict, claims.Outcome{})
		return nil, fault
	}
	claimer.finish(claim, verdict.Ran, claims.Outcome{Status: answer.status, ContentType: answer.contentType(), Body: answer.body})
	return answer, nil
}

// Headers of answers that were recorded when the request ran earlier.
const (
	headerReplayed    = "Idempotency-Replayed"
	headerBodyOmitted = "Idempotency-Body-Omitted"
)

// replayedPage returns the recorded answer of an earlier sending.
func replayedPage(outcome *claims.Outcome) *pageAnswer {
	answer := &pageAnswer{status: outcome.Status, body: outcome.Body}
	answer.headers = append(answer.headers, upstream.Header{Name: "Content-Type", Value: outcome.ContentType})
	answer.headers = append(answer.headers, upstream.Header{Name: headerReplayed, Value: "true"})
	if outcome.BodyOmitted {
		answer.headers = append(answer.headers, upstream.Header{Name: headerBodyOmitted, Value: "true"})
	}
	return answer
}

func (a *pageAnswer) contentType() string {
	for _, header := range a.headers {
		if header.Name == "Content-Type" {
			return header.Value
		}
	}
	return ""
}

// run tries back ends until one answers or the verdict forbids another try.
func (p *pageRequest) run() (*pageAnswer, *refusal) {
	for {
		if cause := p.interrupter.Cause(); cause != nil {
			return nil, p.refusal(refuseInterrupted(cause))
		}
		if p.gateway.clock.now() >= p.deadline {
			return nil, p.refusal(refuseDeadline())
		}
		if p.exchanges > 0 && (p.exchanges >= maximumExchanges || !p.gateway.retries.spend()) {
			return nil, p.refusal(refuseBackEnd())
		}
		choice, err := p.gateway.dispatcher.pick(routing.Request{Service: p.kind.Spec.GetService(), Deadline: p.deadline}, p.excluded)
		if err != nil {
			return nil, p.refusal(refusePick(err))
		}
		answer, failure := p.exchange(choice.BackEnd)
		if failure == nil {
			return answer, nil
		}
		p.gateway.log.Info().Err(failure).Str("back_end", choice.BackEnd.Name).Msg("exchange failed")
		p.excluded = append(p.excluded, choice.BackEnd.Name)
		if failure.Verdict == verdict.NotRun {
			continue
		}
		p.mayHaveRun = true
		if p.gateway.clock.now() < p.deadline && !p.kind.Spec.GetRepeatable() && p.gateway.safeguards.On(RetryOnlyNotRun) {
			return nil, p.refusal(refuseBackEnd())
		}
	}
}

// exchange sends the request to one back end and reads its whole answer.
func (p *pageRequest) exchange(backEnd routing.BackEnd) (*pageAnswer, *upstream.Failure) {
	p.exchanges++
	message := p.message
	message.Address = backEnd.Address
	message.Exchange = upstream.NewExchange()
	left := p.deadline - p.gateway.clock.now()
	message.Headers = append(append([]upstream.Header(nil), message.Headers...),
		upstream.Header{Name: enginecontract.HeaderDeadline, Value: strconv.FormatInt(max(left.Milliseconds(), 1), 10)})
	p.gateway.dispatcher.observe(routing.Sent{BackEnd: backEnd.Name, Exchange: message.Exchange})
	answer, report, failure := p.gateway.upstream.Do(message)
	p.gateway.dispatcher.observeReport(backEnd.Name, message.Exchange, report)
	if failure == nil {
		defer answer.Close()
		var whole *pageAnswer
		if whole, failure = readPage(answer); failure == nil {
			p.gateway.dispatcher.observe(routing.Finished{BackEnd: backEnd.Name, Exchange: message.Exchange})
			return whole, nil
		}
	}
	if failure.Status == 0 {
		p.gateway.dispatcher.observe(routing.Failed{BackEnd: backEnd.Name, Exchange: message.Exchange})
	} else {
		p.gateway.dispatcher.observe(routing.Finished{BackEnd: backEnd.Name, Exchange: message.Exchange})
	}
	return nil, failure
}

// readPage reads a whole answer; one without a declared length cannot be known whole, and
// a server error without a run state may have run.
func readPage(answer *upstream.Answer) (*pageAnswer, *upstream.Failure) {
	if !answer.HasLength() {
		return nil, &upstream.Failure{Verdict: verdict.MayHaveRun, Cause: upstream.ErrTruncated}
	}
	body, err := answer.ReadAll()
	if err != nil {
		return nil, &upstream.Failure{Verdict: verdict.MayHaveRun, Cause: err}
	}
	if answer.Status >= http.StatusInternalServerError {
		return nil, &upstream.Failure{Verdict: verdict.MayHaveRun, Status: answer.Status, Cause: upstream.ErrRefused}
	}
	whole := &pageAnswer{status: answer.Status, body: body}
	for _, name := range passedResponseHeaders {
		if value := answer.Header(name); value != "" {
			whole.headers = append(whole.headers, upstream.Header{Name: name, Value: value})
		}
	}
	return whole, nil
}

// refusal gives a refusal the verdict of the whole request.
func (p *pageRequest) refusal(fault *refusal) *refusal { return fault.combine(p.mayHaveRun) }

// admissionRequest returns what admission needs to know.
func (p *pageRequest) admissionRequest() admissionRequest {
	return admissionRequest{
		service: p.kind.Spec.GetService(),
		limit:   tenantLimit(p.tenant),
		request: admission.Request{
			Tenant:       p.tenant.Name,
			Class:        p.kind.Name,
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
	g.view.offer(recordOutcome{outcome: outcome})
}
