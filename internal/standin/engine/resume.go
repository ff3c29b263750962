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

// serveResume answers GET /v1/exchanges/{id}?offset=N and takes the stream over.
func (l *life) serveResume(ctx *fasthttp.RequestCtx, id string) {
	offset, err := strconv.Atoi(string(ctx.QueryArgs().Peek("offset")))
	if err != nil || offset < 0 {
		invalid("offset must be a number of tokens").write(&ctx.Response)
		return
	}
	ctx.Response.Header.Set(enginecontract.HeaderExchange, id)
	l.lockThawed()
	l.advance()
	resumed := l.exchanges[id]
	if resumed == nil || resumed.cancelled || resumed.phase == enginemodel.PhasePrefillOnly {
		l.mutex.Unlock()
		unknownExchange().write(&ctx.Response)
		return
	}
	resumed.signal() // the older reader sees that it was replaced
	stream := newReader()
	resumed.reader = stream
	l.mutex.Unlock()
	l.answerStream(ctx, resumed, stream, offset, finishReason(true))
}

// serveCancel answers DELETE /v1/exchanges/{id}.
func (l *life) serveCancel(ctx *fasthttp.RequestCtx, id string) {
	ctx.Response.Header.Set(enginecontract.HeaderExchange, id)
	l.lockThawed()
	l.advance()
	gone := l.exchanges[id]
	runState := enginecontract.RunStateMayHaveRun
	if gone != nil && !gone.over() {
		if !gone.started {
			runState = enginecontract.RunStateNotRun
		}
		l.cancelExchange(l.now(), gone)
	}
	l.mutex.Unlock()
	l.poke()
	if gone == nil {
		unknownExchange().write(&ctx.Response)
		return
	}
	ctx.Response.Header.Set(enginecontract.HeaderRunState, runState)
	writeJSON(&ctx.Response, cancelAnswer{Exchange: id, RunState: runState})
}
