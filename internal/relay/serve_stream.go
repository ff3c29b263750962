package relay

import (
	"fmt"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/hazelpitch/hazelpitch/internal/placement"
	"github.com/hazelpitch/hazelpitch/internal/verdict"
)

// maxPrefillAnswerBytes limits the size of an engine's answer to a prefill.
const maxPrefillAnswerBytes = 16 << 10

// remotePrefill is a prompt that one engine has prefilled for another engine.
type remotePrefill struct {
	engine       *backEnd
	handle       string
	prefixBlocks []placement.PrefixBlock
}

// sourceHeader returns the value of the header that tells a decoding engine where to fetch the prompt's KV cache.
func (p *remotePrefill) sourceHeader() string { return p.engine.Address + "/" + p.handle }

// serveStream serves a streaming request. With model engines, either a prefill engine processes the prompt and a decoding
// engine generates the stream, or a decoding engine does both.
func (r *Relay) serveStream(request *request, reply *replier) {
	attempts := r.newAttempts(request)
	defer attempts.end()
	stream := &streamReply{relay: r, request: request, reply: reply, attempts: attempts,
		prefixBlocks: placement.PrefixBlocksOf(request.prompt)}
	stream.position.advance(string(request.header.Peek(r.dialect.Headers.LastEventID)))
	if r.path.pathTo(request.service.Name).IsLost && r.forwardToPeers(attempts, reply, stream.position.lastID()) {
		return
	}
	defer stream.endOrigin()
	if refused := attempts.refuseGoneVersion(); refused != nil {
		if !r.isListCurrent() && r.forwardToPeers(attempts, reply, stream.position.lastID()) {
			return // another relay may list back ends of the version that this one lacks
		}
		r.log.recordRefusal(request, *refused, attempts)
		reply.refuse(*refused)
		return
	}
	start := r.beginStream(stream)
	if start.refusal != nil {
		start.refusal.attempts = attempts.sentCount
		r.log.recordRefusal(request, *start.refusal, attempts)
		reply.refuse(*start.refusal)
		return
	}
	for {
		run := stream.makeRun(&start)
		if run.isAnswered {
			return
		}
		if run.backEnd == nil {
			break
		}
		if stream.migrated != nil {
			attempts.recordMigration()
			continue
		}
		r.recordFailedAttempt(request, run.backEnd, run.fault)
		attempts.recordFailure(run.backEnd, run.fault)
	}
	if start.prefill != nil {
		r.release(start.prefill)
	}
	if attempts.couldNotConnect() && r.forwardToPeers(attempts, reply, stream.position.lastID()) {
		return
	}
	r.replyRefused(attempts, reply)
}

// prefillWithRetry lets a prefill engine process a prompt. After a failure it tries another engine, if the route's attempts
// leave one for the prefill and one for the run.
func (r *Relay) prefillWithRetry(stream *streamReply, selection *backEndSelection) *remotePrefill {
	prefill := r.prefillPrompt(stream, selection)
	attempts := stream.attempts
	if prefill != nil || attempts.isOver() || !attempts.mayRetryPrefill() || r.path.pathTo(stream.request.service.Name).IsLost {
		return prefill
	}
	next := r.nextPrefillEngine(stream)
	if next == nil || !attempts.takeRetry() {
		return nil
	}
	attempts.sentCount++ // the second prefill counts as an attempt
	return r.prefillPrompt(stream, next)
}

// prefillPrompt lets a prefill engine process a prompt. It returns nil when that failed.
func (r *Relay) prefillPrompt(stream *streamReply, selection *backEndSelection) *remotePrefill {
	request, engine, now := stream.request, selection.backEnd, r.clock.now()
	rank := r.policy.PrefillRank(stream.rank(), selection.PrefillTokens)
	request.trace.recordPrefill(selection, now, rank)
	perToken := r.prefillSpeed.timePerToken(engine.hash)
	r.recordPrefillDemand(request.service.Name, engine, selection.EffectiveTokens)
	headers := []header{r.priorityHeader(rank), {r.dialect.Headers.Stage, r.dialect.PrefillStage}}
	if selection.fetchFrom != nil {
		headers = append(headers, header{r.dialect.Headers.KVFetch, selection.fetchFrom.Address})
	}
	expected := r.policy.PrefillQueueDelay(selection.queuedWork, placement.RankCount-1, perToken) + placement.PrefillTime(perToken, selection.EffectiveTokens)
	limit := prefillStallSlack + time.Duration(prefillStallFactor*float64(expected))
	answer, fault := r.exchanger.send(&message{
		request: request, backEnd: engine, deadline: request.deadline, prefixBlocks: stream.prefixBlocks, headers: headers, selection: selection, isPrefill: true,
		work:  prefillWork(r.policy, stream.rank(), &selection.Candidate),
		stall: limit, reserve: stream.prefillReplacement(engine, limit),
	})
	if fault != nil {
		r.recordFailedAttempt(request, engine, fault)
		stream.attempts.recordFailedPrefill(engine, fault)
		return nil
	}
	isUndisturbed := selection.queuedWork.Prefills == 0 && selection.fetchFrom == nil
	if isUndisturbed && !r.speeds.IsSlowedDown(r.clock.now(), engine.Service, engine.hash) {
		r.recordPrefillSpeed(engine, placement.TimePerToken(selection.EffectiveTokens, r.clock.now()-now))
	}
	defer answer.finish()
	prefill := r.readPrefillAnswer(answer, stream.prefixBlocks)
	if prefill == nil {
		stream.attempts.excluded = append(stream.attempts.excluded, engine)
	}
	return prefill
}

// recordPrefillSpeed records, and announces to other relays, an engine's prefill time per token.
func (r *Relay) recordPrefillSpeed(engine *backEnd, perToken time.Duration) {
	r.prefillSpeed.observe(engine.hash, perToken)
	r.notices.queuePrefillSpeed(engine, perToken)
}

// readPrefillAnswer reads the answer to a prefill; it returns nil for an error or a malformed answer.
func (r *Relay) readPrefillAnswer(answer *answer, prefixBlocks []placement.PrefixBlock) *remotePrefill {
	body, err := answer.readAll(maxPrefillAnswerBytes)
	if err != nil || answer.status != fasthttp.StatusOK {
		return nil
	}
	parsed, err := r.dialect.ParsePrefillAnswer(body) // fails for half of an answer
	if err != nil || !answer.hasEnded() {
		answer.recordFault(unsupportedPrefillFailure())
		return nil
	}
	r.checkIncarnation(answer.message.backEnd, parsed.StartedAtMs)
	return &remotePrefill{engine: answer.message.backEnd, handle: parsed.Handle, prefixBlocks: prefixBlocks}
}

// unsupportedPrefillFailure returns the failure of a prefill whose answer cannot be parsed or is too long.
func unsupportedPrefillFailure() *failure {
	return &failure{verdict: verdict.MayHaveRun, mayHaveArrived: true, cause: fmt.Errorf("%w: it names no prefill", errUnsupportedAnswer)}
}

// release releases an unused prefill in the background; otherwise it would occupy the engine's memory until it expires.
func (r *Relay) release(prefill *remotePrefill) {
	go r.exchanger.release(prefill, r.dialect.HandlePath(prefill.handle))
}
