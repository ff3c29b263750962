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
// once the whole answer has been written, which for a stream is after it returns.
func (g *Gateway) serveChat(context *fasthttp.RequestCtx, format stream.Format, release func()) {
	arrival := g.clock.now()
	completion, fault := g.admitChat(context, format, arrival)
	if fault != nil {
		release()
		g.refuse(context, fault.beforeClaim(idempotencyKey(context)))
		return
	}
	completion.release = release
	watch := g.callers.watch(context.Conn(), completion.interrupter)
	if completion.place, fault = g.admitter.admit(completion.admissionRequest(), completion.interrupter); fault != nil {
		watch.end()
		release()
		g.record(completion, outcomeOf(fault))
		g.refuse(context, fault.beforeClaim(claimKey(completion.target.kind, completion.key)))
		return
	}
	identity := stream.Identity{ID: answerID(format), Created: time.Now().Unix(), Model: completion.name(), Format: format}
	if decision := completion.claimRun(identity, watch); decision != nil {
		watch.end()
		completion.close()
		g.answerUnclaimed(context, completion, decision)
		return
	}
	if completion.request.stream {
		g.streamChat(context, completion, identity, watch)
		return
	}
	g.wholeChat(context, completion, identity, watch)
}

// answerUnclaimed answers a request that does not run because of its claim.
func (g *Gateway) answerUnclaimed(context *fasthttp.RequestCtx, completion *completion, decision *claims.Decision) {
	if decision.Replay != nil {
		g.replayChat(context, completion, decision.Replay)
		return
	}
	g.refuse(context, refuseClaim(*decision))
}

// admitChat checks a request and prepares its completion; nothing is sent yet.
func (g *Gateway) admitChat(context *fasthttp.RequestCtx, format stream.Format, arrival time.Duration) (*completion, *refusal) {
	tenant, fault := g.authenticate(&context.Request.Header)
	if fault != nil {
		return nil, fault
	}
	request, fault := parseChatRequest(format, context.PostBody())
	if fault != nil {
		return nil, fault
	}
	target, fault := resolve(g.view.snapshot.Load(), tenant, &context.Request.Header, request)
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
		signature:   quarantine.SignatureOf(tenant.Name, http.MethodPost, string(context.Path()), context.PostBody()),
	}
	if completion.trial, fault = g.admitHeld(completion.signature); fault != nil {
		return nil, fault
	}
	completion.wholeOnly = completion.trial // a trial reaches one engine
	completion.shape = target.shape(tenant, request)
	completion.routing = target.routingRequest(tenant, request, g.admitter.estimate(completion.shape))
	completion.routing.Deadline = completion.deadline
	return completion, nil
}

// name is the model name that the caller sees in the answer.
func (c *completion) name() string {
	if c.request.model != "" {
		return c.request.model
	}
	return c.target.name
}

// wholeChat answers with one JSON body once the whole answer has come.
func (g *Gateway) wholeChat(context *fasthttp.RequestCtx, completion *completion, identity stream.Identity, watch *callerWatch) {
	defer watch.end()
	defer completion.close()
	completion.collected = stream.NewAnswer(identity)
	var err error
	for err == nil {
		_, err = completion.next()
	}
	var fault *refusal
	if errors.As(err, &fault) {
		g.record(completion, outcomeOf(fault))
		g.refuse(context, fault)
		return
	}
	body, err := completion.collected.JSON()
	if err != nil {
		g.log.Error().Err(err).Msg("whole answer cannot be written")
		g.refuse(context, refuseInternal())
		return
	}
	g.record(completion, gatewaystate.Outcome{Completed: true})
	g.metrics.answer(http.StatusOK, verdict.Ran)
	context.Response.Header.SetContentType(contentTypeJSON)
	context.Response.Header.Set(verdict.Header, verdict.Ran.String())
	context.Response.SetBody(body)
}

// streamChat waits for the first event, so that a refusal still has its own status, and
// then hands the stream to the server, which reads it to its end.
func (g *Gateway) streamChat(context *fasthttp.RequestCtx, completion *completion, identity stream.Identity, watch *callerWatch) {
	event, err := completion.next()
	var fault *refusal
	if errors.As(err, &fault) {
		g.record(completion, outcomeOf(fault))
		completion.close()
		watch.end()
		g.refuse(context, fault)
		return
	}
	response := &context.Response
	response.Header.SetContentType(contentTypeEvents)
	response.Header.Set("Cache-Control", "no-store")
	response.Header.Set(verdict.Header, verdict.MayHaveRun.String())
	_ = response.Header.SetTrailer(verdict.Trailer) // the name is allowed
	reader := &chatStream{
		completion: completion, watch: watch, header: &response.Header,
		writer: stream.NewWriter(identity, completion.request.includeUsage),
	}
	reader.take(event, err)
	response.SetBodyStream(reader, -1)
}

// chatStream is the body of a streamed answer: each Read waits for one event. The server
// flushes after every Read and closes it when the caller is gone.
type chatStream struct {
	completion *completion
	watch      *callerWatch
	header     *fasthttp.ResponseHeader
	writer     *stream.Writer
	pending    []byte
	ended      error
}

// Read implements io.Reader.
func (s *chatStream) Read(buffer []byte) (int, error) {
	for len(s.pending) == 0 {
		if s.ended != nil {
			return 0, s.ended
		}
		s.advance()
	}
	n := copy(buffer, s.pending)
	s.pending = s.pending[n:]
	return n, nil
}

// advance waits for the next event. A panic ends this stream, not the process: the server
// reads a stream outside its handler.
func (s *chatStream) advance() {
	defer func() {
		if cause := recover(); cause != nil {
			s.completion.gateway.log.Error().Interface("panic", cause).Msg("a stream panicked")
			s.fail(refuseInternal())
		}
	}()
	s.take(s.completion.next())
}

// take renders one event, or the end of the answer.
func (s *chatStream) take(event stream.Event, err error) {
	var fault *refusal
	if errors.As(err, &fault) {
		s.fail(fault)
		return
	}
	gateway := s.completion.gateway
	if errors.Is(err, errWhole) {
		s.pending = s.writer.AppendDone(s.pending[:0])
		s.ended = io.EOF
		gateway.record(s.completion, gatewaystate.Outcome{Completed: true})
		gateway.metrics.answer(http.StatusOK, verdict.Ran)
		s.header.Set(verdict.Trailer, verdict.Ran.String())
		return
	}
	s.pending = s.writer.AppendEvent(s.pending[:0], &event)
}

// fail ends the stream with an error event and without [DONE].
func (s *chatStream) fail(fault *refusal) {
	s.pending = s.writer.AppendError(s.pending[:0], fault.body())
	s.ended = io.EOF
	s.completion.gateway.record(s.completion, outcomeOf(fault))
	s.completion.gateway.metrics.answer(fault.status, fault.verdict)
	s.header.Set(verdict.Trailer, fault.verdict.String())
}

// Close implements io.Closer.
func (s *chatStream) Close() error {
	s.watch.end()
	if s.completion.claim != nil && !s.completion.done {
		s.completion.gateway.claimer.background(s.completion.runOut)
		return nil
	}
	s.completion.close()
	return nil
}

// record counts one finished request for the demand report.
func (g *Gateway) record(completion *completion, outcome gatewaystate.Outcome) {
	outcome.Service = completion.target.kind.Spec.GetService()
	outcome.Kind = completion.target.kind.Name
	outcome.PromptTokens = uint64(completion.routing.PromptTokens)
	outcome.OutputTokens = uint64(completion.sequence.Delivered())
	g.view.offer(recordOutcome{outcome: outcome})
}

// outcomeOf tells the demand report what a refusal was.
func outcomeOf(fault *refusal) gatewaystate.Outcome {
	return gatewaystate.Outcome{
		MissedDeadline: fault.code == codeDeadlineExceeded,
		Refused:        fault.code != codeDeadlineExceeded && fault.verdict == verdict.NotRun,
	}
}

// answerIDBytes is the number of random bytes in an answer's id.
const answerIDBytes = 12

// answerID returns the id of an answer as the caller sees it. It has nothing to do with
// the exchange's.
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

// chatPaths gives the format of each path of the chat protocol.
var chatPaths = map[string]stream.Format{
	enginecontract.PathChat:        stream.FormatChat,
	enginecontract.PathCompletions: stream.FormatCompletions,
}
