package engine

import (
	"time"

	"github.com/valyala/fasthttp"

	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
	"github.com/hazelpitch/hazelpitch/internal/enginemodel"
	"github.com/hazelpitch/hazelpitch/internal/standin/answertext"
	"github.com/hazelpitch/hazelpitch/internal/standin/crashable"
	"github.com/hazelpitch/hazelpitch/internal/standin/fault"
)

// foreignExchange is the exchange ID that the faults crossed and wrong-echo put into answers.
const foreignExchange = "00000000000000000000000000000bad"

// serveWork answers a chat or completions request.
func (p *process) serveWork(ctx *fasthttp.RequestCtx, kind endpoint) {
	request, problem := parse(&ctx.Request, kind)
	if problem != nil {
		p.refuse(ctx, problem)
		return
	}
	if late, strikes := p.strikeFault(fault.Late); strikes {
		p.sleep(late.Delay())
	}
	if _, strikes := p.strikeFault(fault.Refuse); strikes {
		p.refuse(ctx, notRun(fasthttp.StatusServiceUnavailable, "overloaded", "refused on demand"))
		return
	}
	if request.phase == enginemodel.PhaseDecodeImported {
		if err := p.importKV(request); err != nil {
			p.refuse(ctx, notRun(fasthttp.StatusFailedDependency, "kv_import_failed", err.Error()))
			return
		}
	}
	accepted, stream, problem := p.submit(request)
	if problem == nil {
		problem = p.awaitStart(accepted, stream, request.deadline)
	}
	if problem != nil {
		p.refuse(ctx, problem)
		return
	}
	p.answer(ctx, accepted, stream, request)
}

func (p *process) refuse(ctx *fasthttp.RequestCtx, problem *refusal) {
	p.engine.runs.count(0, func(_ *Run, totals *Totals) { totals.Refused++ })
	problem.write(&ctx.Response)
}

// submit passes a request to the model or returns why it was refused.
func (p *process) submit(request parsedRequest) (*exchange, *reader, *refusal) {
	p.lockThawed()
	defer p.mutex.Unlock()
	p.advance()
	switch {
	case p.dead:
		return nil, nil, mayHaveRun(fasthttp.StatusInternalServerError, "engine_error", "the engine crashed")
	case p.exchanges[request.exchange] != nil:
		return nil, nil, mayHaveRun(fasthttp.StatusConflict, "exchange_exists", "this exchange was used before")
	case !p.machine.Serves(request.model):
		return nil, nil, notRun(fasthttp.StatusNotFound, "model_not_found", "model "+request.model+" isn't loaded here")
	}
	if problem := refusalForState(p.machine.ServiceState()); problem != nil {
		return nil, nil, problem
	}
	promptTokens := answertext.PromptTokens(request.prompt)
	now := p.now()
	err := p.model.Submit(now, enginemodel.Request{
		ID: request.exchange, PromptTokens: promptTokens, OutputTokens: request.outputTokens,
		Priority: request.priority, Phase: request.phase, AlreadyDelivered: request.continueFrom,
		PrefixBlocks: answertext.Blocks(request.salt, request.prompt, p.engine.config.Profile.BlockTokens),
	})
	if err != nil {
		return nil, nil, refusalForModelError(err)
	}
	stream := newReader()
	accepted := &exchange{
		id: request.exchange, endpoint: request.endpoint, model: request.model, prompt: request.hash,
		promptTokens: promptTokens, outputTokens: request.outputTokens, phase: request.phase, salt: request.salt,
		decodedTokens: request.continueFrom, reader: stream, unreadSince: now,
	}
	p.exchanges[accepted.id] = accepted
	p.openExchanges++
	p.wakeDriver()
	return accepted, stream, nil
}

// awaitStart waits until an exchange leaves the engine's queue.
func (p *process) awaitStart(accepted *exchange, stream *reader, deadline time.Duration) *refusal {
	var expired <-chan time.Time
	if deadline > 0 {
		timer := time.NewTimer(deadline)
		defer timer.Stop()
		expired = timer.C
	}
	for {
		p.mutex.Lock()
		started, cancelled := accepted.started, accepted.cancelled
		p.mutex.Unlock()
		switch {
		case started:
			return nil
		case cancelled:
			return notRun(499, "cancelled", "the exchange was cancelled while it waited")
		}
		select {
		case <-stream.changed:
		case <-p.ctx.Done():
			return mayHaveRun(fasthttp.StatusInternalServerError, "engine_error", "the engine crashed")
		case <-expired:
			if p.cancelWaiting(accepted) {
				return notRun(fasthttp.StatusRequestTimeout, "deadline_exceeded", "still waiting at the deadline")
			}
		}
	}
}

// cancelWaiting cancels an exchange that has not started and reports whether it did so.
func (p *process) cancelWaiting(accepted *exchange) bool {
	p.lockThawed()
	defer p.mutex.Unlock()
	p.advance()
	if accepted.started || accepted.isOver() {
		return false
	}
	p.cancelExchange(p.now(), accepted)
	return true
}

// answer sends the output of a started exchange, or fails as the faults require.
func (p *process) answer(ctx *fasthttp.RequestCtx, accepted *exchange, stream *reader, request parsedRequest) {
	if _, strikes := p.strikeFault(fault.LoseAnswer); strikes {
		p.detach(accepted, stream)
		crashable.ResetConnection(ctx.Conn())
		return
	}
	if _, strikes := p.strikeFault(fault.Error); strikes {
		p.detach(accepted, stream)
		mayHaveRun(fasthttp.StatusInternalServerError, "engine_error", "failed on demand").write(&ctx.Response)
		return
	}
	if _, strikes := p.strikeFault(fault.WrongEcho); strikes {
		ctx.Response.Header.Set(enginecontract.HeaderExchange, foreignExchange)
	}
	if accepted.phase == enginemodel.PhasePrefillOnly {
		p.answerPrefill(ctx, accepted, stream)
		return
	}
	p.answerStream(ctx, accepted, stream, request.continueFrom, finishReason(request.hasLimit))
}

func (p *process) answerPrefill(ctx *fasthttp.RequestCtx, accepted *exchange, stream *reader) {
	for {
		p.lockThawed()
		if accepted.finished {
			answer := p.exportKV(accepted)
			accepted.reader = nil
			p.mutex.Unlock()
			writeJSON(&ctx.Response, answer)
			return
		}
		cancelled := accepted.cancelled
		p.mutex.Unlock()
		if cancelled {
			mayHaveRun(499, "cancelled", "the exchange was cancelled").write(&ctx.Response)
			return
		}
		select {
		case <-stream.changed:
		case <-p.ctx.Done():
			return
		}
	}
}

// detach leaves an exchange without a reader; it can be resumed for ResumeWindow.
func (p *process) detach(from *exchange, stream *reader) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if from.reader == stream {
		from.reader = nil
		from.unreadSince = p.now()
	}
}

func (p *process) sleep(pause time.Duration) {
	select {
	case <-time.After(pause):
	case <-p.ctx.Done():
	}
}

func finishReason(limited bool) string {
	if limited {
		return "length"
	}
	return "stop"
}
