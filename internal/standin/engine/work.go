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

// otherExchange is the identity that crossed answers carry when no other exchange runs.
const otherExchange = "00000000000000000000000000000bad"

// serveWork answers a chat or completions request.
func (l *life) serveWork(ctx *fasthttp.RequestCtx, kind endpoint) {
	request, problem := parse(&ctx.Request, kind)
	if problem != nil {
		l.refuse(ctx, problem)
		return
	}
	if late, strikes := l.takeFault(fault.Late); strikes {
		l.sleep(late.Delay())
	}
	if _, strikes := l.takeFault(fault.Refuse); strikes {
		l.refuse(ctx, notRun(fasthttp.StatusServiceUnavailable, "overloaded", "refused on demand"))
		return
	}
	if request.phase == enginemodel.PhaseDecodeImported {
		if err := l.importKV(request); err != nil {
			l.refuse(ctx, notRun(fasthttp.StatusFailedDependency, "kv_import_failed", err.Error()))
			return
		}
	}
	begun, stream, problem := l.submit(request)
	if problem == nil {
		problem = l.awaitStart(begun, stream, request.deadline)
	}
	if problem != nil {
		l.refuse(ctx, problem)
		return
	}
	l.answer(ctx, begun, stream, request)
}

func (l *life) refuse(ctx *fasthttp.RequestCtx, problem *refusal) {
	l.engine.runs.count(0, func(_ *Run, totals *Totals) { totals.Refused++ })
	problem.write(&ctx.Response)
}

// submit takes a request in, or says why not.
func (l *life) submit(request work) (*exchange, *reader, *refusal) {
	l.lockThawed()
	defer l.mutex.Unlock()
	l.advance()
	switch {
	case l.dead:
		return nil, nil, mayHaveRun(fasthttp.StatusInternalServerError, "engine_error", "the engine crashed")
	case l.exchanges[request.exchange] != nil:
		return nil, nil, mayHaveRun(fasthttp.StatusConflict, "exchange_exists", "this exchange was used before")
	case !l.machine.Serves(request.model):
		return nil, nil, notRun(fasthttp.StatusNotFound, "model_not_found", "model "+request.model+" isn't loaded here")
	}
	if problem := outOfService(l.machine.ServiceState()); problem != nil {
		return nil, nil, problem
	}
	promptTokens := answertext.PromptTokens(request.prompt)
	now := l.now()
	err := l.model.Submit(now, enginemodel.Request{
		ID: request.exchange, PromptTokens: promptTokens, OutputTokens: request.output,
		Priority: request.priority, Phase: request.phase, AlreadyDelivered: request.continued,
		PrefixBlocks: answertext.Blocks(request.salt, request.prompt, l.engine.config.Profile.BlockTokens),
	})
	if err != nil {
		return nil, nil, ofModel(err)
	}
	stream := newReader()
	begun := &exchange{
		id: request.exchange, endpoint: request.endpoint, model: request.model, prompt: request.hash,
		promptTokens: promptTokens, output: request.output, phase: request.phase, salt: request.salt,
		written: request.continued, reader: stream, alone: now,
	}
	l.exchanges[begun.id] = begun
	l.open++
	l.poke()
	return begun, stream, nil
}

// awaitStart waits until an exchange leaves the waiting line.
func (l *life) awaitStart(begun *exchange, stream *reader, deadline time.Duration) *refusal {
	var expired <-chan time.Time
	if deadline > 0 {
		timer := time.NewTimer(deadline)
		defer timer.Stop()
		expired = timer.C
	}
	for {
		l.mutex.Lock()
		started, cancelled := begun.started, begun.cancelled
		l.mutex.Unlock()
		switch {
		case started:
			return nil
		case cancelled:
			return notRun(499, "cancelled", "the exchange was cancelled while it waited")
		}
		select {
		case <-stream.changed:
		case <-l.ctx.Done():
			return mayHaveRun(fasthttp.StatusInternalServerError, "engine_error", "the engine crashed")
		case <-expired:
			if l.cancelWaiting(begun) {
				return notRun(fasthttp.StatusRequestTimeout, "deadline_exceeded", "still waiting at the deadline")
			}
		}
	}
}

// cancelWaiting cancels an exchange that has not started, and tells whether it did.
func (l *life) cancelWaiting(begun *exchange) bool {
	l.lockThawed()
	defer l.mutex.Unlock()
	l.advance()
	if begun.started || begun.over() {
		return false
	}
	l.cancelExchange(l.now(), begun)
	return true
}

// answer sends what a started exchange writes, or fails as the faults want.
func (l *life) answer(ctx *fasthttp.RequestCtx, begun *exchange, stream *reader, request work) {
	if _, strikes := l.takeFault(fault.LoseAnswer); strikes {
		l.detach(begun, stream)
		crashable.ResetConnection(ctx.Conn())
		return
	}
	if _, strikes := l.takeFault(fault.Error); strikes {
		l.detach(begun, stream)
		mayHaveRun(fasthttp.StatusInternalServerError, "engine_error", "failed on demand").write(&ctx.Response)
		return
	}
	if _, strikes := l.takeFault(fault.WrongEcho); strikes {
		ctx.Response.Header.Set(enginecontract.HeaderExchange, otherExchange)
	}
	if begun.phase == enginemodel.PhasePrefillOnly {
		l.answerPrefill(ctx, begun, stream)
		return
	}
	l.answerStream(ctx, begun, stream, request.continued, finishReason(request.limited))
}

func (l *life) answerPrefill(ctx *fasthttp.RequestCtx, begun *exchange, stream *reader) {
	for {
		l.lockThawed()
		if begun.ended {
			answer := l.export(begun)
			begun.reader = nil
			l.mutex.Unlock()
			writeJSON(&ctx.Response, answer)
			return
		}
		cancelled := begun.cancelled
		l.mutex.Unlock()
		if cancelled {
			mayHaveRun(499, "cancelled", "the exchange was cancelled").write(&ctx.Response)
			return
		}
		select {
		case <-stream.changed:
		case <-l.ctx.Done():
			return
		}
	}
}

// detach leaves an exchange without a reader; it may be resumed for a while.
func (l *life) detach(from *exchange, stream *reader) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if from.reader == stream {
		from.reader = nil
		from.alone = l.now()
	}
}

func (l *life) sleep(pause time.Duration) {
	select {
	case <-time.After(pause):
	case <-l.ctx.Done():
	}
}

func finishReason(limited bool) string {
	if limited {
		return "length"
	}
	return "stop"
}
