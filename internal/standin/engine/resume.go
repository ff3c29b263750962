package engine

import (
	"strconv"

	"github.com/valyala/fasthttp"

	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
	"github.com/hazelpitch/hazelpitch/internal/enginemodel"
)

// cancelAnswer is the body of the answer to DELETE /v1/exchanges/{id}.
type cancelAnswer struct {
	Exchange string `json:"exchange"`
	RunState string `json:"run_state"`
}

func unknownExchange() *refusal {
	return mayHaveRun(fasthttp.StatusNotFound, "exchange_unknown", "the engine doesn't know this exchange; it may have restarted")
}

// serveResume answers GET /v1/exchanges/{id}?offset=N; its stream replaces the previous reader.
func (p *process) serveResume(ctx *fasthttp.RequestCtx, id string) {
	offset, err := strconv.Atoi(string(ctx.QueryArgs().Peek("offset")))
	if err != nil || offset < 0 {
		invalid("offset must be a number of tokens").write(&ctx.Response)
		return
	}
	ctx.Response.Header.Set(enginecontract.HeaderExchange, id)
	p.lockThawed()
	p.advance()
	resumed := p.exchanges[id]
	if resumed == nil || resumed.cancelled || resumed.phase == enginemodel.PhasePrefillOnly {
		p.mutex.Unlock()
		unknownExchange().write(&ctx.Response)
		return
	}
	resumed.signal() // wakes the previous reader, which detects that it was replaced
	stream := newReader()
	resumed.reader = stream
	p.mutex.Unlock()
	p.answerStream(ctx, resumed, stream, offset, finishReason(true))
}

// serveCancel answers DELETE /v1/exchanges/{id}.
func (p *process) serveCancel(ctx *fasthttp.RequestCtx, id string) {
	ctx.Response.Header.Set(enginecontract.HeaderExchange, id)
	p.lockThawed()
	p.advance()
	target := p.exchanges[id]
	runState := enginecontract.RunStateMayHaveRun
	if target != nil && !target.isOver() {
		if !target.started {
			runState = enginecontract.RunStateNotRun
		}
		p.cancelExchange(p.now(), target)
	}
	p.mutex.Unlock()
	p.wakeDriver()
	if target == nil {
		unknownExchange().write(&ctx.Response)
		return
	}
	ctx.Response.Header.Set(enginecontract.HeaderRunState, runState)
	writeJSON(&ctx.Response, cancelAnswer{Exchange: id, RunState: runState})
}
