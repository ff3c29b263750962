package gateway

import (
	"net/http"

	"github.com/hazelpitch/hazelpitch/internal/routing"
	"github.com/hazelpitch/hazelpitch/internal/upstream"
	"github.com/hazelpitch/hazelpitch/internal/verdict"
)

// run tries back ends until one answers or the verdict forbids another attempt.
func (p *pageRequest) run() (*pageAnswer, *refusal) {
	for {
		if fault := p.gateway.checkActive(p.interrupter, p.deadline); fault != nil {
			return nil, p.refusal(fault)
		}
		if !p.isTrial && p.gateway.guard.IsQuarantined(p.content) {
			return nil, p.refusal(refuseQuarantined(p.gateway.guard.RetryAfter(p.content)))
		}
		if fault := p.gateway.refuseLateStart(); fault != nil {
			return nil, p.refusal(fault)
		}
		if p.isTrial && p.attempts.started > 0 || !p.gateway.mayStartExchange(p.attempts) {
			return nil, p.refusal(p.attempts.refuseExhausted())
		}
		choice, err := p.gateway.dispatcher.pick(routing.Request{
			Service: p.kind.Spec.GetService(), Deadline: p.deadline, Rank: rankOfPriority(p.kind.Spec.GetPriority()),
		}, p.excluded)
		if err != nil {
			return nil, p.refusal(refusePick(err))
		}
		answer, failure := p.exchange(choice.BackEnd)
		if failure == nil {
			p.gateway.guard.RecordSuccess(p.content)
			return answer, nil
		}
		p.gateway.failureLine(choice.BackEnd.Name, failure).Msg("exchange failed")
		p.excluded = append(p.excluded, choice.BackEnd.Name)
		p.attempts.recordFailure(failure)
		if failure.Verdict == verdict.NotRun {
			continue
		}
		p.mayHaveRun = true
		p.reportBrokenRun(choice.BackEnd, failure)
		if p.gateway.checkActive(p.interrupter, p.deadline) == nil && !p.kind.Spec.GetRepeatable() && p.gateway.safeguards.IsEnabled(RetryOnlyNotRun) {
			return nil, p.refusal(refuseBackEnd())
		}
	}
}

// reportBrokenRun makes the guard find out whether the back end that broke off the request has crashed. It waits for
// the result when the request may be sent again.
func (p *pageRequest) reportBrokenRun(backEnd routing.BackEnd, failure *upstream.Failure) {
	if failure.Status != 0 || p.interrupter.Cause() != nil {
		return
	}
	wait := crashWait
	if !p.kind.Spec.GetRepeatable() {
		wait = 0
	}
	p.gateway.guard.RecordBrokenRun(p.content, replicaOf(backEnd), min(wait, p.deadline-p.gateway.clock.now()))
}

// exchange sends the request to one back end and reads the complete answer.
func (p *pageRequest) exchange(backEnd routing.BackEnd) (*pageAnswer, *upstream.Failure) {
	p.attempts.started++
	message := p.message
	message.Address = backEnd.Address
	message.Exchange = upstream.NewExchange()
	message.Headers = append(append([]upstream.Header(nil), message.Headers...),
		deadlineHeader(p.deadline-p.gateway.clock.now()))
	p.gateway.dispatcher.observe(routing.Dispatch{BackEnd: backEnd.Name, Exchange: message.Exchange})
	answer, report, failure := p.gateway.upstream.Do(message)
	p.gateway.dispatcher.observeReport(backEnd.Name, message.Exchange, report)
	if failure == nil {
		defer answer.Close()
		var complete *pageAnswer
		if complete, failure = readPageAnswer(answer); failure == nil {
			p.gateway.dispatcher.observe(routing.Completion{BackEnd: backEnd.Name, Exchange: message.Exchange})
			return complete, nil
		}
	}
	p.gateway.observeFailure(backEnd.Name, message.Exchange, failure)
	return nil, failure
}

// readPageAnswer reads the complete answer. An answer without a declared length is a failure, because truncation could not
// be detected. A server error without a run state counts as may have run.
func readPageAnswer(answer *upstream.Answer) (*pageAnswer, *upstream.Failure) {
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
	complete := &pageAnswer{status: answer.Status, body: body, memory: answer.TakeMemory()}
	for _, name := range passedResponseHeaders {
		if value := answer.Header(name); value != "" {
			complete.headers = append(complete.headers, upstream.Header{Name: name, Value: value})
		}
	}
	return complete, nil
}

// refusal returns the refusal with a verdict that covers all exchanges of the request.
func (p *pageRequest) refusal(fault *refusal) *refusal { return fault.combine(p.mayHaveRun) }
