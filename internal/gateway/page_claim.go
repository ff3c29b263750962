package gateway

import (
	"github.com/hazelpitch/hazelpitch/internal/claims"
	"github.com/hazelpitch/hazelpitch/internal/upstream"
	"github.com/hazelpitch/hazelpitch/internal/verdict"
)

// runClaimed runs the request. A request that may run at most once and has an idempotency key runs only
// under a claim. Without a key it is sent again only when the verdict is "not run".
func (p *pageRequest) runClaimed() (*pageAnswer, *refusal) {
	if p.kind.Spec.GetRepeatable() || p.key == "" || !p.gateway.safeguards.IsEnabled(ClaimBeforeRun) {
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
	// The caller will resend after a disconnect, so that the outcome must be recorded in any case.
	p.watch.ignoreCaller()
	answer, fault := p.run()
	if fault != nil {
		claimer.finish(claim, fault.verdict, claims.Outcome{})
		return nil, fault
	}
	claimer.finish(claim, verdict.Ran, claims.Outcome{Status: answer.status, ContentType: answer.contentType(), Body: answer.body})
	return answer, nil
}

// Headers of answers that were recorded by an earlier run of the request.
const (
	headerReplayed    = "Idempotency-Replayed"
	headerBodyOmitted = "Idempotency-Body-Omitted"
)

// replayedPage returns the answer recorded by an earlier attempt.
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
