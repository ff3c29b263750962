package gateway

import (
	"net/http"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/hazelpitch/hazelpitch/internal/claims"
	"github.com/hazelpitch/hazelpitch/internal/stream"
	"github.com/hazelpitch/hazelpitch/internal/verdict"
)

// claimRun asks for the right to run a request that may run at most once. It returns nil
// when the request runs now, under a claim or because it needs none.
func (c *completion) claimRun(identity stream.Identity, watch *callerWatch) *claims.Decision {
	if c.target.kind.Spec.GetRepeatable() || c.key == "" || !c.gateway.safeguards.IsEnabled(ClaimBeforeRun) {
		return nil
	}
	claimer := c.gateway.claimer
	claim := claimer.claim(c.tenant, c.target.kind, c.key, []byte(c.target.name), c.request.members)
	decision := claimer.begin(claim, c.deadline, c.interrupter)
	if !decision.Run {
		return &decision
	}
	// The outcome is worth recording also when the caller goes away: it will ask again.
	watch.end()
	c.claim = claim
	c.collected = stream.NewAnswer(identity)
	return nil
}

// finishClaim records the outcome of a claimed request.
func (c *completion) finishClaim() {
	if c.claim == nil {
		return
	}
	ended, outcome := verdict.NotRun, claims.Outcome{}
	switch body, err := c.collected.JSON(); {
	case c.whole && err == nil:
		ended = verdict.Ran
		outcome = claims.Outcome{Status: http.StatusOK, ContentType: contentTypeJSON, Body: body}
	case c.mayHaveRun || c.whole:
		ended = verdict.MayHaveRun
	}
	c.gateway.claimer.finish(c.claim, ended, outcome)
}

// runOut reads the rest of a claimed answer whose caller went away, so that its outcome
// can be recorded. It ends with the request's deadline at the latest.
func (c *completion) runOut() {
	defer c.close()
	for {
		if _, err := c.next(); err != nil {
			return
		}
	}
}

// replayChat answers with the recorded answer of an earlier sending.
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
		ID: answerID(completion.request.format), Created: time.Now().Unix(), Model: completion.name(), Format: completion.request.format,
	}
	response.Header.SetContentType(contentTypeEvents)
	response.SetBody(stream.NewWriter(identity, completion.request.includeUsage).AppendComplete(nil, outcome.Body))
}
