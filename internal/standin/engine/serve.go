package engine

import (
	"fmt"
	"strings"

	"github.com/valyala/fasthttp"

	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
)

// Paths of the bench alone; no engine outside the bench has them.
const (
	PathBenchFaults = "/bench/faults" // PUT a list of fault.Fault, GET what is left
	PathBenchRuns   = "/bench/runs"   // GET a Report
)

// headerEngineRole is the engine's role on every answer.
const headerEngineRole = "X-Engine-Role"

// handle routes one request.
func (l *life) handle(ctx *fasthttp.RequestCtx) {
	l.lockThawed()
	dead := l.dead
	l.mutex.Unlock()
	if dead {
		_ = ctx.Conn().Close()
		return
	}
	path := string(ctx.Path())
	switch {
	case path == enginecontract.PathChat && ctx.IsPost():
		l.serveWork(ctx, endpointChat)
	case path == enginecontract.PathCompletions && ctx.IsPost():
		l.serveWork(ctx, endpointCompletions)
	case strings.HasPrefix(path, enginecontract.PathExchanges) && ctx.IsGet():
		l.serveResume(ctx, strings.TrimPrefix(path, enginecontract.PathExchanges))
	case strings.HasPrefix(path, enginecontract.PathExchanges) && ctx.IsDelete():
		l.serveCancel(ctx, strings.TrimPrefix(path, enginecontract.PathExchanges))
	case strings.HasPrefix(path, enginecontract.PathKV) && ctx.IsGet():
		l.serveKV(ctx, strings.TrimPrefix(path, enginecontract.PathKV))
	case strings.HasPrefix(path, "/bench/"):
		l.serveBench(ctx, path)
	default:
		l.serveControl(ctx, path)
	}
	l.setEngineHeaders(ctx)
}

// setEngineHeaders puts on what every answer carries.
func (l *life) setEngineHeaders(ctx *fasthttp.RequestCtx) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	load := l.model.Load()
	set := ctx.Response.Header.Set
	set(enginecontract.HeaderEngineState, string(l.machine.ServiceState()))
	set(headerEngineRole, string(l.machine.Role()))
	set(enginecontract.HeaderEngineLoad, fmt.Sprintf("%d,%d,%d", load.Running, load.Waiting, load.WaitingPromptTokens))
	if len(ctx.Response.Header.Peek(enginecontract.HeaderExchange)) == 0 {
		if echo := ctx.Request.Header.Peek(enginecontract.HeaderExchange); len(echo) > 0 {
			ctx.Response.Header.SetBytesV(enginecontract.HeaderExchange, echo)
		}
	}
}

func (l *life) serveBench(ctx *fasthttp.RequestCtx, path string) {
	switch {
	case path == PathBenchRuns && ctx.IsGet():
		writeJSON(&ctx.Response, l.engine.Runs())
	case path == PathBenchFaults && (ctx.IsGet() || ctx.IsPut()):
		l.engine.faults.Serve(ctx)
	default:
		notRun(fasthttp.StatusNotFound, "not_found", "no such path").write(&ctx.Response)
	}
}
