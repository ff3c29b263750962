package gateway

import (
	"net/http"

	"github.com/hazelpitch/hazelpitch/internal/routing"
	"github.com/hazelpitch/hazelpitch/internal/upstream"
	"github.com/hazelpitch/hazelpitch/internal/verdict"
)

// run tries back ends until one answers or the verdict forbids another try.
func (p *pageRequest) run() (*pageAnswer, *refusal) {
	for {
		if fault := p.gateway.over(p.interrupter, p.deadline); fault != nil {
			return nil, p.refusal(fault)
		}
		if !p.trial && p.gateway.guard.IsQuarantined(p.signature) {
			return nil, p.refusal(refuseHeld())
		}
		if p.trial && p.tried.begun > 0 || !p.gateway.mayBegin(p.tried) {
			return nil, p.refusal(refuseBackEnd())
		}
		choice, err := p.gateway.dispatcher.pick(routing.Request{
			Service: p.kind.Spec.GetService(), Deadline: p.deadline, Rank: rankOfPriority(p.kind.Spec.GetPriority()),
		}, p.excluded)
		if err != nil {
			return nil, p.refusal(refusePick(err))
		}
		answer, failure := p.exchange(choice.BackEnd)
		if failure == nil {
			p.gateway.guard.RecordSuccess(p.signature)
			return answer, nil
		}
		p.gateway.log.Info().Err(failure).Str("back_end", choice.BackEnd.Name).Msg("exchange failed")
		p.excluded = append(p.excluded, choice.BackEnd.Name)
		p.tried.note(failure)
		if failure.Verdict == verdict.NotRun {
			continue
		}
		p.mayHaveRun = true
		p.noteBroken(choice.BackEnd, failure)
		if p.gateway.clock.now() < p.deadline && !p.kind.Spec.GetRepeatable() && p.gateway.safeguards.IsEnabled(RetryOnlyNotRun) {
			return nil, p.refusal(refuseBackEnd())
		}
	}
}

// noteBroken lets the guard find out whether a back end has ended that broke the request off, and
// waits for that where the request may go on.
func (p *pageRequest) noteBroken(backEnd routing.BackEnd, failure *upstream.Failure) {
	if failure.Status != 0 || p.interrupter.Cause() != nil {
		return
	}
	wait := endWait
	if !p.kind.Spec.GetRepeatable() {
		wait = 0
	}
	p.gateway.guard.RecordBrokenRun(p.signature, replicaOf(backEnd), min(wait, p.deadline-p.gateway.clock.now()))
}

// exchange sends the request to one back end and reads its whole answer.
func (p *pageRequest) exchange(backEnd routing.BackEnd) (*pageAnswer, *upstream.Failure) {
	p.tried.begun++
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
		var whole *pageAnswer
		if whole, failure = readPage(answer); failure == nil {
			p.gateway.dispatcher.observe(routing.Completion{BackEnd: backEnd.Name, Exchange: message.Exchange})
			return whole, nil
		}
	}
	if failure.Status == 0 {
		p.gateway.dispatcher.observe(routing.Failure{BackEnd: backEnd.Name, Exchange: message.Exchange})
	} else {
		p.gateway.dispatcher.observe(routing.Completion{BackEnd: backEnd.Name, Exchange: message.Exchange})
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
