package gateway

import (
	"net/http"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/hazelpitch/hazelpitch/internal/claims"
	"github.com/hazelpitch/hazelpitch/internal/stream"
	"github.com/hazelpitch/hazelpitch/internal/verdict"
)

// acquireClaim requests the claim of a request that may run at most once. It returns nil when the request runs now,
// either under a granted claim or because it needs none, and otherwise the decision not to run it. identity is the
// identity of the answer, which is recorded under the claim.
func (c *completion) acquireClaim(identity stream.Identity, watch *callerWatch) *claims.Decision {
	if c.target.kind.Spec.GetRepeatable() || c.key == "" || !c.gateway.safeguards.IsEnabled(ClaimBeforeRun) {
		return nil
	}
	claimer := c.gateway.claimer
	claim := claimer.claim(c.tenant, c.target.kind, c.key, []byte(c.target.name), c.request.members)
	decision := claimer.begin(claim, c.deadline, c.interrupter)
	if !decision.Run {
		return &decision
	}
	// The caller will resend after a disconnect, so that the outcome must be recorded in any case.
	watch.ignoreCaller()
	c.claim = claim
	c.collected = stream.NewAnswer(identity)
	return nil
}

// finishClaim records the outcome of a claimed request with the controllers.
func (c *completion) finishClaim() {
	if c.claim == nil {
		return
	}
	runVerdict, outcome := verdict.NotRun, claims.Outcome{}
	switch body, err := c.collected.JSON(); {
	case c.isComplete && err == nil:
		runVerdict = verdict.Ran
		outcome = claims.Outcome{Status: http.StatusOK, ContentType: contentTypeJSON, Body: body}
	case c.mayHaveRun || c.isComplete:
		runVerdict = verdict.MayHaveRun
	}
	c.gateway.claimer.finish(c.claim, runVerdict, outcome)
}

// drainAnswer reads the rest of the answer of a claimed request whose caller disconnected, so that its outcome
// can be recorded. It returns by the request's deadline.
func (c *completion) drainAnswer() {
	defer c.close()
	for {
		if _, err := c.next(); err != nil {
			return
		}
	}
}

// replayChat answers with the outcome recorded by an earlier attempt.
func (g *Gateway) replayChat(context *fasthttp.RequestCtx, completion *completion, outcome *claims.Outcome) {
	response := &context.Response
	response.Header.Set(headerReplayed, "true")
	response.Header.Set(verdict.Header, verdict.Ran.String())
	g.metrics.answer(outcome.Status, verdict.Ran)
	if outcome.BodyOmitted {
		response.Header.Set(headerBodyOmitted, "true")
	}
	if !completion.request.stream || outcome.BodyOmitted {
		response.SetStatusCode(outcome.Status)
		response.Header.SetContentType(outcome.ContentType)
		response.SetBody(outcome.Body)
		return
	}
	identity := stream.Identity{
		ID: answerID(completion.request.format), Created: time.Now().Unix(), Model: completion.modelName(), Format: completion.request.format,
	}
	response.Header.SetContentType(contentTypeEvents)
	response.SetBody(stream.NewWriter(identity, completion.request.includeUsage).AppendComplete(nil, outcome.Body))
}
