package engine

import (
	"encoding/json"
	"strconv"

	"github.com/valyala/fasthttp"

	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
	"github.com/hazelpitch/hazelpitch/internal/standin/crashable"
	"github.com/hazelpitch/hazelpitch/internal/standin/fault"
)

// serveControl answers the requests of controllers.
func (p *process) serveControl(ctx *fasthttp.RequestCtx, path string) {
	switch {
	case path == enginecontract.PathState && ctx.IsGet():
		p.lockThawed()
		p.advance()
		state := p.state()
		p.mutex.Unlock()
		writeJSON(&ctx.Response, state)
	case path == enginecontract.PathLoad && ctx.IsGet():
		p.serveLoad(ctx)
	case path == enginecontract.PathCacheEvents && ctx.IsGet():
		p.serveCacheEvents(ctx)
	case path == enginecontract.PathOrders && ctx.IsPost():
		p.serveOrder(ctx)
	case path == enginecontract.PathFence && ctx.IsPost():
		p.serveFence(ctx)
	case path == enginecontract.PathHealth && ctx.IsGet():
		ctx.SetStatusCode(fasthttp.StatusOK)
	default:
		notRun(fasthttp.StatusNotFound, "not_found", "no such path").write(&ctx.Response)
	}
}

func (p *process) serveLoad(ctx *fasthttp.RequestCtx) {
	lag := p.engine.config.LoadLag
	if more, found := p.engine.faults.Peek(fault.LoadLag); found {
		lag += more.Delay()
	}
	p.lockThawed()
	p.advance()
	report := p.loads.reportAt(p.now(), lag)
	p.mutex.Unlock()
	writeJSON(&ctx.Response, report)
}

func (p *process) serveCacheEvents(ctx *fasthttp.RequestCtx) {
	after, err := strconv.ParseUint(string(ctx.QueryArgs().Peek("after")), 10, 64)
	if err != nil && ctx.QueryArgs().Has("after") {
		invalid("after must be a number").write(&ctx.Response)
		return
	}
	lag := p.engine.config.CacheEventLag
	if more, found := p.engine.faults.Peek(fault.CacheEventLag); found {
		lag += more.Delay()
	}
	p.lockThawed()
	p.advance()
	events := p.cache.after(after, p.now(), lag)
	p.mutex.Unlock()
	writeJSON(&ctx.Response, events)
}

func (p *process) serveOrder(ctx *fasthttp.RequestCtx) {
	var order enginecontract.Order
	if err := json.Unmarshal(ctx.PostBody(), &order); err != nil {
		invalid("an order is wanted: " + err.Error()).write(&ctx.Response)
		return
	}
	p.lockThawed()
	p.advance()
	before := p.machine.State(p.inFlight())
	answer := p.machine.Submit(p.now(), order, p.inFlight())
	if answer.Accepted {
		p.engine.accepted.add(order, before)
	}
	p.applyOrderProgress(p.now())
	p.mutex.Unlock()
	p.wakeDriver()
	if _, strikes := p.strikeFault(fault.LoseOrderAnswer); strikes {
		crashable.ResetConnection(ctx.Conn())
		return
	}
	writeOrderAnswer(ctx, answer)
}

func (p *process) serveFence(ctx *fasthttp.RequestCtx) {
	var fence enginecontract.Fence
	if err := json.Unmarshal(ctx.PostBody(), &fence); err != nil {
		invalid("a fence is wanted: " + err.Error()).write(&ctx.Response)
		return
	}
	p.lockThawed()
	p.advance()
	answer := p.machine.RaiseFence(p.now(), fence, p.inFlight())
	p.mutex.Unlock()
	writeOrderAnswer(ctx, answer)
}

func writeOrderAnswer(ctx *fasthttp.RequestCtx, answer enginecontract.OrderAnswer) {
	if !answer.Accepted {
		ctx.SetStatusCode(fasthttp.StatusConflict)
		ctx.Response.Header.Set(enginecontract.HeaderRunState, enginecontract.RunStateNotRun)
	}
	writeJSON(&ctx.Response, answer)
}
