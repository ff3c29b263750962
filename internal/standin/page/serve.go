package page

import (
	"bufio"
	"encoding/json"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
	"github.com/hazelpitch/hazelpitch/internal/standin/crashable"
	"github.com/hazelpitch/hazelpitch/internal/standin/fault"
)

func (s *Service) handle(ctx *fasthttp.RequestCtx) {
	s.mutex.Lock()
	pause := time.Until(s.frozenUntil)
	s.mutex.Unlock()
	time.Sleep(max(pause, 0))
	switch path := string(ctx.Path()); {
	case path == PathBenchRuns:
		s.writeJSON(ctx, s.Runs())
	case path == PathBenchFaults:
		s.faults.Serve(ctx)
	case path == enginecontract.PathHealth:
		s.serveHealth(ctx)
	default:
		s.serveRequest(ctx)
	}
}

func (s *Service) serveHealth(ctx *fasthttp.RequestCtx) {
	s.setStateHeader(ctx)
	if s.isLeaving() {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	}
}

// serveRequest serves one request of a caller, with the faults that are set.
func (s *Service) serveRequest(ctx *fasthttp.RequestCtx) {
	ctx.Response.Header.SetBytesV(enginecontract.HeaderExchange, ctx.Request.Header.Peek(enginecontract.HeaderExchange))
	s.setStateHeader(ctx)
	if late, strikes := s.faults.Strike(fault.Late); strikes {
		time.Sleep(late.Delay())
	}
	if s.isLeaving() {
		s.refuse(ctx, "leaving")
		return
	}
	if _, strikes := s.faults.Strike(fault.Refuse); strikes {
		s.refuse(ctx, "refused on demand")
		return
	}
	body := s.executeRequest(ctx)
	if _, strikes := s.faults.Strike(fault.LoseAnswer); strikes {
		crashable.ResetConnection(ctx.Conn())
		return
	}
	if _, strikes := s.faults.Strike(fault.Error); strikes {
		ctx.Response.Header.Set(enginecontract.HeaderRunState, enginecontract.RunStateMayHaveRun)
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		ctx.SetBodyString("failed on demand")
		return
	}
	if _, strikes := s.faults.Strike(fault.WrongEcho); strikes {
		ctx.Response.Header.Set(enginecontract.HeaderExchange, foreignExchange)
		body = Receipt("/another", "of another caller", nil)
	}
	s.sendBody(ctx, body)
}

// executeRequest executes the request and counts it by its idempotency key.
func (s *Service) executeRequest(ctx *fasthttp.RequestCtx) string {
	time.Sleep(s.config.ServiceTime)
	key := string(ctx.Request.Header.Peek(enginecontract.HeaderIdempotencyKey))
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.report.Served++
	if key != "" {
		s.report.Executions[key]++
	}
	if ctx.IsGet() {
		return Page(string(ctx.RequestURI()))
	}
	return Receipt(string(ctx.Path()), key, ctx.PostBody())
}

// sendBody sends the body, complete or as far as the faults truncate and cut allow.
func (s *Service) sendBody(ctx *fasthttp.RequestCtx, body string) {
	ctx.Response.Header.SetContentType("text/html; charset=utf-8")
	if ctx.IsPost() {
		ctx.Response.Header.SetContentType("application/json")
	}
	cut, strikes := s.faults.Strike(fault.Truncate)
	if !strikes {
		cut, strikes = s.faults.Strike(fault.Cut)
	}
	if !strikes {
		ctx.SetBodyString(body)
		return
	}
	connection := ctx.Conn()
	ctx.Response.SetBodyStreamWriter(func(out *bufio.Writer) {
		_, _ = out.WriteString(body[:min(cut.Tokens, len(body))]) // the connection is reset in any case
		_ = out.Flush()
		crashable.ResetConnection(connection)
	})
	ctx.Response.Header.SetContentLength(len(body))
}

func (s *Service) refuse(ctx *fasthttp.RequestCtx, why string) {
	s.mutex.Lock()
	s.report.Refused++
	s.mutex.Unlock()
	ctx.Response.Header.Set(enginecontract.HeaderRunState, enginecontract.RunStateNotRun)
	ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	ctx.SetBodyString(why)
}

func (s *Service) setStateHeader(ctx *fasthttp.RequestCtx) {
	state := enginecontract.StateServing
	if s.isLeaving() {
		state = enginecontract.StateLeaving
	}
	ctx.Response.Header.Set(enginecontract.HeaderEngineState, string(state))
}

func (s *Service) isLeaving() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.leaving
}

func (s *Service) writeJSON(ctx *fasthttp.RequestCtx, value any) {
	text, err := json.Marshal(value)
	if err != nil { // the types written here always marshal
		panic(err)
	}
	ctx.Response.Header.SetContentType("application/json")
	ctx.Response.SetBody(text)
}
