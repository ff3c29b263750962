package engine

import (
	"encoding/json"
	"strconv"

	"github.com/valyala/fasthttp"

	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
	"github.com/hazelpitch/hazelpitch/internal/standin/crashable"
	"github.com/hazelpitch/hazelpitch/internal/standin/fault"
)

// serveControl answers what controllers ask of an engine.
func (l *life) serveControl(ctx *fasthttp.RequestCtx, path string) {
	switch {
	case path == enginecontract.PathState && ctx.IsGet():
		l.lockThawed()
		l.advance()
		state := l.state()
		l.mutex.Unlock()
		writeJSON(&ctx.Response, state)
	case path == enginecontract.PathLoad && ctx.IsGet():
		l.serveLoad(ctx)
	case path == enginecontract.PathCacheEvents && ctx.IsGet():
		l.serveCacheEvents(ctx)
	case path == enginecontract.PathOrders && ctx.IsPost():
		l.serveOrder(ctx)
	case path == enginecontract.PathFence && ctx.IsPost():
		l.serveFence(ctx)
	case path == enginecontract.PathHealth && ctx.IsGet():
		ctx.SetStatusCode(fasthttp.StatusOK)
	default:
		notRun(fasthttp.StatusNotFound, "not_found", "no such path").write(&ctx.Response)
	}
}

func (l *life) serveLoad(ctx *fasthttp.RequestCtx) {
	lag := l.engine.config.LoadLag
	if more, found := l.engine.faults.Peek(fault.LoadLag); found {
		lag += more.Delay()
	}
	l.lockThawed()
	l.advance()
	report := l.loads.lagging(l.now(), lag)
	l.mutex.Unlock()
	writeJSON(&ctx.Response, report)
}

func (l *life) serveCacheEvents(ctx *fasthttp.RequestCtx) {
	after, err := strconv.ParseUint(string(ctx.QueryArgs().Peek("after")), 10, 64)
	if err != nil && ctx.QueryArgs().Has("after") {
		invalid("after must be a number").write(&ctx.Response)
		return
	}
	lag := l.engine.config.CacheEventLag
	if more, found := l.engine.faults.Peek(fault.CacheEventLag); found {
		lag += more.Delay()
	}
	l.lockThawed()
	l.advance()
	events := l.cache.after(after, l.now(), lag)
	l.mutex.Unlock()
	writeJSON(&ctx.Response, events)
}

func (l *life) serveOrder(ctx *fasthttp.RequestCtx) {
	var order enginecontract.Order
	if err := json.Unmarshal(ctx.PostBody(), &order); err != nil {
		invalid("an order is wanted: " + err.Error()).write(&ctx.Response)
		return
	}
	l.lockThawed()
	l.advance()
	before := l.machine.State(l.inFlight())
	answer := l.machine.Submit(l.now(), order, l.inFlight())
	if answer.Accepted {
		l.engine.accepted.add(order, before)
	}
	l.followOrder(l.now())
	l.mutex.Unlock()
	l.poke()
	if _, strikes := l.takeFault(fault.LoseOrderAnswer); strikes {
		crashable.ResetConnection(ctx.Conn())
		return
	}
	writeOrderAnswer(ctx, answer)
}

func (l *life) serveFence(ctx *fasthttp.RequestCtx) {
	var fence enginecontract.Fence
	if err := json.Unmarshal(ctx.PostBody(), &fence); err != nil {
		invalid("a fence is wanted: " + err.Error()).write(&ctx.Response)
		return
	}
	l.lockThawed()
	l.advance()
	answer := l.machine.RaiseFence(l.now(), fence, l.inFlight())
	l.mutex.Unlock()
	writeOrderAnswer(ctx, answer)
}

func writeOrderAnswer(ctx *fasthttp.RequestCtx, answer enginecontract.OrderAnswer) {
	if !answer.Accepted {
		ctx.SetStatusCode(fasthttp.StatusConflict)
		ctx.Response.Header.Set(enginecontract.HeaderRunState, enginecontract.RunStateNotRun)
	}
	writeJSON(&ctx.Response, answer)
}
