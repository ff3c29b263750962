package engine

import (
	"fmt"
	"strings"

	"github.com/valyala/fasthttp"

	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
)

// Paths at which hazelbench controls a stand-in engine; real engines do not have them.
const (
	PathBenchFaults = "/bench/faults" // PUT a list of fault.Fault, GET what is left
	PathBenchRuns   = "/bench/runs"   // GET a Report
)

// headerEngineRole carries the engine's role on every answer.
const headerEngineRole = "X-Engine-Role"

// handle routes one request.
func (p *process) handle(ctx *fasthttp.RequestCtx) {
	p.lockThawed()
	dead := p.dead
	p.mutex.Unlock()
	if dead {
		_ = ctx.Conn().Close()
		return
	}
	path := string(ctx.Path())
	switch {
	case path == enginecontract.PathChat && ctx.IsPost():
		p.serveWork(ctx, endpointChat)
	case path == enginecontract.PathCompletions && ctx.IsPost():
		p.serveWork(ctx, endpointCompletions)
	case strings.HasPrefix(path, enginecontract.PathExchanges) && ctx.IsGet():
		p.serveResume(ctx, strings.TrimPrefix(path, enginecontract.PathExchanges))
	case strings.HasPrefix(path, enginecontract.PathExchanges) && ctx.IsDelete():
		p.serveCancel(ctx, strings.TrimPrefix(path, enginecontract.PathExchanges))
	case strings.HasPrefix(path, enginecontract.PathKV) && ctx.IsGet():
		p.serveKV(ctx, strings.TrimPrefix(path, enginecontract.PathKV))
	case strings.HasPrefix(path, "/bench/"):
		p.serveBench(ctx, path)
	default:
		p.serveControl(ctx, path)
	}
	p.setEngineHeaders(ctx)
}

// setEngineHeaders sets the headers that every answer carries.
func (p *process) setEngineHeaders(ctx *fasthttp.RequestCtx) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	load := p.model.Load()
	set := ctx.Response.Header.Set
	set(enginecontract.HeaderEngineState, string(p.machine.ServiceState()))
	set(headerEngineRole, string(p.machine.Role()))
	set(enginecontract.HeaderEngineLoad, fmt.Sprintf("%d,%d,%d", load.Running, load.Waiting, load.WaitingPromptTokens))
	if len(ctx.Response.Header.Peek(enginecontract.HeaderExchange)) == 0 {
		if echo := ctx.Request.Header.Peek(enginecontract.HeaderExchange); len(echo) > 0 {
			ctx.Response.Header.SetBytesV(enginecontract.HeaderExchange, echo)
		}
	}
}

func (p *process) serveBench(ctx *fasthttp.RequestCtx, path string) {
	switch {
	case path == PathBenchRuns && ctx.IsGet():
		writeJSON(&ctx.Response, p.engine.Runs())
	case path == PathBenchFaults && (ctx.IsGet() || ctx.IsPut()):
		p.engine.faults.Serve(ctx)
	default:
		notRun(fasthttp.StatusNotFound, "not_found", "no such path").write(&ctx.Response)
	}
}
