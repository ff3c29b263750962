package gateway

import (
	"crypto/rand"
	"encoding/hex"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/hazelpitch/hazelpitch/internal/claims"
	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
	"github.com/hazelpitch/hazelpitch/internal/gatewaystate"
	"github.com/hazelpitch/hazelpitch/internal/quarantine"
	"github.com/hazelpitch/hazelpitch/internal/stream"
	"github.com/hazelpitch/hazelpitch/internal/upstream"
	"github.com/hazelpitch/hazelpitch/internal/verdict"
)

// serveChat answers one request of the chat or completions protocol. It calls release
// once the whole answer has been written; for a stream that is after serveChat returns.
func (g *Gateway) serveChat(context *fasthttp.RequestCtx, format stream.Format, release func()) {
	arrival := g.clock.now()
	completion, fault := g.admitChat(context, format, arrival)
	if fault != nil {
		release()
		g.refuse(context, fault.beforeClaim(idempotencyKey(context)))
		return
	}
	completion.release = release
	completion.text.memory = g.upstream.NewReservation()
	watch := g.callerWatcher.watch(context.Conn(), completion.interrupter)
	if completion.slot, fault = g.admitter.admit(completion.admissionRequest(), completion.interrupter); fault != nil {
		watch.stop()
		release()
		g.recordChat(completion, outcomeOf(fault))
		g.refuse(context, fault.beforeClaim(claimKey(completion.target.kind, completion.key)))
		return
	}
	identity := stream.Identity{ID: answerID(format), Created: time.Now().Unix(), Model: completion.modelName(), Format: format}
	if decision := completion.acquireClaim(identity, watch); decision != nil {
		watch.stop()
		completion.close()
		g.answerUnclaimed(context, completion, decision)
		return
	}
	if completion.request.stream {
		g.streamChat(context, completion, identity, watch)
		return
	}
	g.answerChat(context, completion, identity, watch)
}

// answerUnclaimed answers a request whose claim was not granted.
func (g *Gateway) answerUnclaimed(context *fasthttp.RequestCtx, completion *completion, decision *claims.Decision) {
	if decision.Replay != nil {
		g.replayChat(context, completion, decision.Replay)
		return
	}
	g.refuse(context, refuseClaim(*decision))
}

// admitChat checks a request and prepares its completion. It sends nothing yet.
func (g *Gateway) admitChat(context *fasthttp.RequestCtx, format stream.Format, arrival time.Duration) (*completion, *refusal) {
	tenant, fault := g.authenticate(&context.Request.Header)
	if fault != nil {
		return nil, fault
	}
	request, fault := parseChatRequest(format, context.PostBody())
	if fault != nil {
		return nil, fault
	}
	target, fault := resolveTarget(g.view.snapshot.Load(), tenant, &context.Request.Header, request)
	if fault != nil {
		return nil, fault
	}
	g.retries.earn()
	completion := &completion{
		gateway:     g,
		tenant:      tenant,
		target:      target,
		request:     request,
		deadline:    deadlineOf(target.kind, arrival),
		sequence:    stream.NewSequence(target.kind.Spec.GetRepeatable(), g.safeguards),
		interrupter: &upstream.Interrupter{},
		key:         idempotencyKey(context),
		content:     quarantine.ContentOf(tenant.Name, http.MethodPost, string(context.Path()), context.PostBody(), request.sharedPartIDs()),
	}
	if completion.isTrial, fault = g.checkQuarantine(completion.content); fault != nil {
		return nil, fault
	}
	completion.wholeOnly = completion.isTrial // a quarantine trial may reach only one engine
	completion.shape = target.shape(tenant, request)
	completion.routing = target.routingRequest(tenant, request, g.admitter.estimate(completion.shape))
	completion.routing.Deadline = completion.deadline
	return completion, nil
}

// modelName returns the model name that the caller sees in the answer.
func (c *completion) modelName() string {
	if c.request.model != "" {
		return c.request.model
	}
	return c.target.name
}

// answerChat answers with one JSON body once the answer is complete.
func (g *Gateway) answerChat(context *fasthttp.RequestCtx, completion *completion, identity stream.Identity, watch *callerWatch) {
	defer watch.stop()
	defer completion.close()
	completion.collected = stream.NewAnswer(identity)
	var err error
	for err == nil {
		_, err = completion.next()
	}
	var fault *refusal
	if errors.As(err, &fault) {
		g.recordChat(completion, outcomeOf(fault))
		g.refuse(context, fault)
		return
	}
	body, err := completion.collected.JSON()
	if err != nil {
		g.log.Error().Err(err).Msg("cannot encode the answer; the caller receives an internal error")
		g.refuse(context, refuseInternal())
		return
	}
	g.recordChat(completion, gatewaystate.Outcome{Completed: true})
	g.metrics.answer(http.StatusOK, verdict.Ran)
	context.Response.Header.SetContentType(contentTypeJSON)
	context.Response.Header.Set(verdict.Header, verdict.Ran.String())
	setBody(&context.Response, body, completion.text.takeMemory())
}

// streamChat answers with a stream of events. It waits for the first event before it sends the header, so that a refusal
// still has its own HTTP status, and then passes the stream to the server, which reads it to its end.
func (g *Gateway) streamChat(context *fasthttp.RequestCtx, completion *completion, identity stream.Identity, watch *callerWatch) {
	event, err := completion.next()
	var fault *refusal
	if errors.As(err, &fault) {
		g.recordChat(completion, outcomeOf(fault))
		completion.close()
		watch.stop()
		g.refuse(context, fault)
		return
	}
	response := &context.Response
	response.Header.SetContentType(contentTypeEvents)
	response.Header.Set("Cache-Control", "no-store")
	response.Header.Set(verdict.Header, verdict.MayHaveRun.String())
	_ = response.Header.SetTrailer(verdict.Trailer) // the trailer's name is allowed
	reader := &chatStream{
		completion: completion, watch: watch, header: &response.Header,
		writer: stream.NewWriter(identity, completion.request.includeUsage),
	}
	reader.render(event, err)
	response.SetBodyStream(reader, -1)
}

// chatStream is the body of a streamed answer. Each Read waits for one event. The server
// flushes after every Read and calls Close when the caller disconnects.
type chatStream struct {
	completion *completion
	watch      *callerWatch
	header     *fasthttp.ResponseHeader
	writer     *stream.Writer
	pending    []byte
	readErr    error
}

// Read implements io.Reader.
func (s *chatStream) Read(buffer []byte) (int, error) {
	for len(s.pending) == 0 {
		if s.readErr != nil {
			return 0, s.readErr
		}
		s.advance()
	}
	n := copy(buffer, s.pending)
	s.pending = s.pending[n:]
	return n, nil
}

// advance waits for the next event. It recovers from panics, because the server reads a stream outside its handler:
// a panic ends this stream and not the process.
func (s *chatStream) advance() {
	defer func() {
		if cause := recover(); cause != nil {
			s.completion.gateway.log.Error().Interface("panic", cause).Msg("panic in a stream; it ends with an error event")
			s.fail(refuseInternal())
		}
	}()
	s.render(s.completion.next())
}

// render encodes one event or the end of the answer.
func (s *chatStream) render(event stream.Event, err error) {
	var fault *refusal
	if errors.As(err, &fault) {
		s.fail(fault)
		return
	}
	gateway := s.completion.gateway
	if errors.Is(err, errAnswerComplete) {
		s.pending = s.writer.AppendDone(s.pending[:0])
		s.readErr = io.EOF
		gateway.recordChat(s.completion, gatewaystate.Outcome{Completed: true})
		gateway.metrics.answer(http.StatusOK, verdict.Ran)
		s.header.Set(verdict.Trailer, verdict.Ran.String())
		return
	}
	s.pending = s.writer.AppendEvent(s.pending[:0], &event)
}

// fail ends the stream with an error event and without [DONE].
func (s *chatStream) fail(fault *refusal) {
	s.pending = s.writer.AppendError(s.pending[:0], fault.body())
	s.readErr = io.EOF
	s.completion.gateway.recordChat(s.completion, outcomeOf(fault))
	s.completion.gateway.metrics.answer(fault.status, fault.verdict)
	s.header.Set(verdict.Trailer, fault.verdict.String())
}

// Close implements io.Closer.
func (s *chatStream) Close() error {
	s.watch.stop()
	if s.completion.claim != nil && !s.completion.done {
		s.completion.gateway.claimer.runInBackground(s.completion.drainAnswer)
		return nil
	}
	s.completion.close()
	return nil
}

// recordChat counts a finished request for the demand report.
func (g *Gateway) recordChat(completion *completion, outcome gatewaystate.Outcome) {
	outcome.Service = completion.target.kind.Spec.GetService()
	outcome.Kind = completion.target.kind.Name
	outcome.PromptTokens = uint64(completion.routing.PromptTokens)
	outcome.OutputTokens = uint64(completion.sequence.Delivered())
	g.view.trySend(recordOutcome{outcome: outcome})
}

// outcomeOf classifies a refusal for the demand report.
func outcomeOf(fault *refusal) gatewaystate.Outcome {
	return gatewaystate.Outcome{
		MissedDeadline: fault.code == codeDeadlineExceeded,
		Refused:        fault.code != codeDeadlineExceeded && fault.verdict == verdict.NotRun,
	}
}

// answerIDBytes is the number of random bytes in the ID of an answer.
const answerIDBytes = 12

// answerID returns the ID of an answer that the caller sees. It is unrelated to the ID of
// the exchange.
func answerID(format stream.Format) string {
	var random [answerIDBytes]byte
	_, _ = rand.Read(random[:]) // never fails, by its documentation
	prefix := "chatcmpl-"
	if format == stream.FormatCompletions {
		prefix = "cmpl-"
	}
	return prefix + hex.EncodeToString(random[:])
}

// Content types of answers.
const (
	contentTypeJSON   = "application/json"
	contentTypeEvents = "text/event-stream"
)

// chatPaths maps each path of the chat protocol to its format.
var chatPaths = map[string]stream.Format{
	enginecontract.PathChat:        stream.FormatChat,
	enginecontract.PathCompletions: stream.FormatCompletions,
}
