package relay

import (
	"io"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/hazelpitch/hazelpitch/internal/placement"
)

// maxPrefillAnswerBytes bounds an engine's answer to a prefill.
const maxPrefillAnswerBytes = 16 << 10

// remotePrefill is a prompt that one engine has prefilled for another engine.
type remotePrefill struct {
	engine       *backEnd
	handle       string
	prefixBlocks []placement.PrefixBlock
}

// sourceHeader returns the value of the header that tells a decoding engine where to fetch the prompt's KV cache.
func (h *remotePrefill) sourceHeader() string { return h.engine.Address + "/" + h.handle }

// serveStream serves a streaming request. With model engines, either a prefill engine processes the prompt and a decoding
// engine generates the stream, or a decoding engine does both.
func (r *Relay) serveStream(request *request, reply *replier) {
	attempts := &attemptTracker{relay: r, request: request}
	stream := &streamReply{relay: r, request: request, reply: reply, attempts: attempts,
		prefixBlocks: placement.PrefixBlocksOf(request.prompt), lastEventID: string(request.header.Peek(r.dialect.Headers.LastEventID))}
	start := r.beginStream(stream)
	if start.refusal != nil {
		r.log.recordRefusal(request, *start.refusal, attempts)
		reply.refuse(*start.refusal)
		return
	}
	chosen, prefill := start.direct, start.prefill
	for stream.migrated != nil || attempts.mayContinue() {
		if migrated := stream.migrated; migrated != nil {
			stream.migrated, chosen, prefill = nil, migrated.target, migrated.prefill
		}
		if chosen == nil {
			chosen = r.nextDecodeEngine(stream, prefill)
		}
		if chosen == nil {
			break
		}
		engine := chosen.backEnd
		fault := stream.runOn(chosen, prefill)
		prefill = nil // a handle can be used only once
		if fault == nil {
			return
		}
		if stream.migrated != nil {
			attempts.recordMigration()
			continue
		}
		r.log.recordFailedAttempt(request, engine, fault)
		attempts.recordFailure(engine, fault)
		chosen = nil
	}
	if prefill != nil {
		r.release(prefill)
	}
	r.replyRefused(attempts, reply)
}

// prefillWithRetry lets a prefill engine process a prompt. After a failure it tries another engine, if the route's attempts
// leave one for the prefill and one for the run.
func (r *Relay) prefillWithRetry(stream *streamReply, chosen *selection) *remotePrefill {
	prefill := r.prefillPrompt(stream, chosen)
	attempts := stream.attempts
	if prefill != nil || attempts.isOver() || attempts.sentCount+1 >= stream.request.route.MaxAttempts {
		return prefill
	}
	next := r.nextPrefillEngine(stream)
	if next == nil || !r.trySpendRetry(stream.request) {
		return nil
	}
	attempts.sentCount++ // the second prefill counts as an attempt
	return r.prefillPrompt(stream, next)
}

// prefillPrompt lets a prefill engine process a prompt. It returns nil when that failed.
func (r *Relay) prefillPrompt(stream *streamReply, chosen *selection) *remotePrefill {
	request, engine, now := stream.request, chosen.backEnd, r.clock.now()
	rank := r.policy.PrefillRank(stream.rank(), chosen.PrefillTokens)
	request.trace.recordPrefill(chosen, now, rank)
	perToken := r.pace.timePerToken(engine.hash)
	r.recordPrefillDemand(request.service.Name, engine, chosen.EffectiveTokens)
	headers := []header{r.priorityHeader(rank), {r.dialect.Headers.Stage, r.dialect.PrefillStage}}
	if chosen.fetchFrom != nil {
		headers = append(headers, header{r.dialect.Headers.KVFetch, chosen.fetchFrom.Address})
	}
	answer, fault := r.exchanger.send(&message{
		request: request, backEnd: engine, deadline: request.deadline, prefixBlocks: stream.prefixBlocks, headers: headers, chosen: chosen, isPrefill: true,
		work:     prefillWork(r.policy, stream.rank(), &chosen.Candidate),
		stall:    prefillStallSlack + time.Duration(prefillStallFactor*float64(r.policy.PrefillQueueDelay(chosen.queuedWork, placement.RankCount-1, perToken)+placement.PrefillTime(perToken, chosen.EffectiveTokens))),
		mayAbort: true,
	})
	if fault != nil {
		r.log.recordFailedAttempt(request, engine, fault)
		stream.attempts.recordFailedPrefill(engine, fault)
		return nil
	}
	if chosen.queuedWork.Prefills == 0 && chosen.fetchFrom == nil {
		r.recordPace(engine, placement.TimePerToken(chosen.EffectiveTokens, r.clock.now()-now))
	}
	defer answer.finish()
	prefill := r.readPrefillAnswer(answer, stream.prefixBlocks)
	if prefill == nil {
		stream.attempts.excluded = append(stream.attempts.excluded, engine)
	}
	return prefill
}

// recordPace records, and announces to other relays, an engine's prefill time per token.
func (r *Relay) recordPace(engine *backEnd, perToken time.Duration) {
	r.pace.observe(engine.hash, perToken)
	r.notices.queuePace(engine, perToken)
}

// readPrefillAnswer reads the answer to a prefill; it returns nil for an error or a malformed answer.
func (r *Relay) readPrefillAnswer(answer *answer, prefixBlocks []placement.PrefixBlock) *remotePrefill {
	body, err := io.ReadAll(io.LimitReader(answer, maxPrefillAnswerBytes))
	if err != nil || answer.status != fasthttp.StatusOK {
		return nil
	}
	parsed, err := r.dialect.ParsePrefillAnswer(body)
	if err != nil {
		return nil
	}
	r.checkIncarnation(answer.message.backEnd, parsed.Born)
	return &remotePrefill{engine: answer.message.backEnd, handle: parsed.Handle, prefixBlocks: prefixBlocks}
}

// release releases an unused prefill in the background. It would occupy the engine's memory until it expires.
func (r *Relay) release(prefill *remotePrefill) {
	go r.exchanger.release(prefill, r.dialect.HandlePath(prefill.handle))
}
