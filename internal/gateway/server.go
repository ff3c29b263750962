package gateway

import (
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	callerIdleTimeout = 75 * time.Second
	overloadedRetry   = time.Second
	// connectionsPerRequest is the number of connections, most of which are idle, for each request that may be in flight
	// or queued. The spare connections make it possible to answer a request over the limit with a verdict.
	connectionsPerRequest = 4
)

// newServer returns the HTTP server for callers.
func (g *Gateway) newServer() *fasthttp.Server {
	limits := g.settings.Limits
	return &fasthttp.Server{
		Handler:                      g.serve,
		ErrorHandler:                 g.serveReadError,
		ReadBufferSize:               limits.HeaderBytes,
		MaxRequestBodySize:           limits.BodyBytes,
		ReadTimeout:                  limits.ReadTimeout,
		IdleTimeout:                  callerIdleTimeout,
		Concurrency:                  connectionsPerRequest * (limits.InFlight + limits.QueueLength),
		NoDefaultServerHeader:        true,
		NoDefaultContentType:         true,
		DisablePreParseMultipartForm: true,
		CloseOnShutdown:              true,
		ConnState:                    trackState,
		SecureErrorLogMessage:        true,
		Logger:                       serverLogger{log: g.log},
	}
}

// serve answers one request of a caller.
func (g *Gateway) serve(context *fasthttp.RequestCtx) {
	defer g.closeWhenDraining(context)
	if fault := checkHeaders(&context.Request.Header); fault != nil {
		context.SetConnectionClose()
		g.refuse(context, fault)
		return
	}
	if fault := g.refuseLateRequest(); fault != nil {
		g.refuse(context, fault.beforeClaim(idempotencyKey(context)))
		return
	}
	if !g.inFlight.tryAcquire() {
		g.refuse(context, refuse(http.StatusServiceUnavailable, typeRateLimit, codeOverloaded,
			"the gateway has too many requests in flight").after(overloadedRetry).beforeClaim(idempotencyKey(context)))
		return
	}
	release := sync.OnceFunc(g.inFlight.release)
	defer g.recoverPanic(context, release)
	format, isChat := chatPaths[string(context.Path())]
	switch {
	case isChat && !context.IsPost():
		defer release()
		context.Response.Header.Set("Allow", http.MethodPost)
		g.refuse(context, refuse(http.StatusMethodNotAllowed, typeInvalidRequest, codeInvalidBody, "send POST"))
	case isChat:
		g.serveChat(context, format, release)
	default:
		defer release()
		g.servePage(context)
	}
}

// closeWhenDraining makes the answer announce that a stopping gateway closes the connection.
func (g *Gateway) closeWhenDraining(context *fasthttp.RequestCtx) {
	if g.draining.Load() {
		context.SetConnectionClose()
	}
}

// refuse answers with a refusal and counts it.
func (g *Gateway) refuse(context *fasthttp.RequestCtx, fault *refusal) {
	g.metrics.answer(fault.status, fault.verdict)
	fault.write(&context.Response)
}

// serveReadError answers requests that the server could not read. None of them has run.
func (g *Gateway) serveReadError(context *fasthttp.RequestCtx, err error) {
	var tooSmall *fasthttp.ErrSmallBuffer
	fault := refuse(http.StatusBadRequest, typeInvalidRequest, codeInvalidHeader, "the request cannot be read")
	switch {
	case errors.As(err, &tooSmall):
		fault = refuse(http.StatusRequestHeaderFieldsTooLarge, typeInvalidRequest, codeTooLarge, "the headers are too large")
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		fault = refuse(http.StatusRequestEntityTooLarge, typeInvalidRequest, codeTooLarge, "the body is too large")
	}
	context.SetConnectionClose()
	g.refuse(context, fault)
}

// recoverPanic answers for a handler that panicked, and keeps the process running.
func (g *Gateway) recoverPanic(context *fasthttp.RequestCtx, release func()) {
	cause := recover()
	if cause == nil {
		return
	}
	release()
	g.log.Error().Interface("panic", cause).Msg("panic in a request handler; the caller receives an internal error")
	g.refuse(context, refuseInternal())
}
