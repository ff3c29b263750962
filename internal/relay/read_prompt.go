package relay

import (
	"io"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/hazelpitch/hazelpitch/internal/placement"
)

// maximumPrefillAnswer bounds the answer to a reading of a prompt.
const maximumPrefillAnswer = 16 << 10

// heldPrompt is a prompt that an engine has read for another one.
type heldPrompt struct {
	engine *backEnd
	handle string
	parts  []placement.PrefixBlock
}

// source is how a decoding engine is told where the prompt is.
func (h *heldPrompt) source() string { return h.engine.Address + "/" + h.handle }

// serveStream serves a stream. From model engines the prompt is read at a prefill engine and
// generated from at a decoding one, or both are done at a decoding one.
func (r *Relay) serveStream(request *request, reply *replier) {
	tried := &attempts{relay: r, request: request}
	stream := &streamReply{relay: r, request: request, reply: reply, tried: tried,
		parts: placement.PrefixBlocksOf(request.prompt), last: string(request.header.Peek(r.dialect.Headers.LastEventID))}
	begun := r.beginStream(stream)
	if begun.refused != nil {
		r.log.refused(request, *begun.refused, tried)
		reply.refuse(*begun.refused)
		return
	}
	chosen, held := begun.direct, begun.held
	for stream.moved != nil || tried.mayContinue() {
		if moved := stream.moved; moved != nil {
			stream.moved, chosen, held = nil, moved.place, moved.held
		}
		if chosen == nil {
			chosen = r.nextEngine(stream, held)
		}
		if chosen == nil {
			break
		}
		engine := chosen.backEnd
		fault := stream.run(chosen, held)
		held = nil // a handle serves once
		if fault == nil {
			return
		}
		if stream.moved != nil {
			tried.noteMoved()
			continue
		}
		r.log.attemptFailed(request, engine, fault)
		tried.note(engine, fault)
		chosen = nil
	}
	if held != nil {
		r.release(held)
	}
	r.finishRefused(tried, reply)
}

// readTwice lets a prefill engine read a prompt, and another one when the first has failed
// and the route's attempts leave one for the reading and one for the run.
func (r *Relay) readTwice(stream *streamReply, chosen *place) *heldPrompt {
	held := r.readPrompt(stream, chosen)
	tried := stream.tried
	if held != nil || tried.over() || tried.sent+1 >= stream.request.route.MaxAttempts {
		return held
	}
	next := r.nextReader(stream)
	if next == nil || !r.sendAgain(stream.request) {
		return nil
	}
	tried.sent++ // a further reading counts as an attempt
	return r.readPrompt(stream, next)
}

// readPrompt lets a prefill engine read a prompt. It returns nil when it has not.
func (r *Relay) readPrompt(stream *streamReply, chosen *place) *heldPrompt {
	request, engine, now := stream.request, chosen.backEnd, r.clock.now()
	rank := r.policy.PrefillRank(stream.rank(), chosen.PrefillTokens)
	request.trace.prefill(chosen, now, rank)
	perToken := r.pace.of(engine.hash)
	r.noteAskedReading(request.service.Name, engine, chosen.EffectiveTokens)
	set := []header{r.rankHeader(rank), {r.dialect.Headers.Stage, r.dialect.PrefillStage}}
	if chosen.fetchFrom != nil {
		set = append(set, header{r.dialect.Headers.KVFetch, chosen.fetchFrom.Address})
	}
	answer, fault := r.exchanger.send(&message{
		request: request, backEnd: engine, deadline: request.deadline, reads: stream.parts, set: set, chosen: chosen, reading: true,
		work:     readingWork(r.policy, stream.rank(), &chosen.Candidate),
		stall:    prefillStall + time.Duration(prefillStallShare*float64(r.policy.PrefillQueueDelay(chosen.ahead, placement.RankCount-1, perToken)+placement.PrefillTime(perToken, chosen.EffectiveTokens))),
		mayBreak: true,
	})
	if fault != nil {
		r.log.attemptFailed(request, engine, fault)
		stream.tried.noteReading(engine, fault)
		return nil
	}
	if chosen.ahead.Prefills == 0 && chosen.fetchFrom == nil {
		r.notePace(engine, placement.TimePerToken(chosen.EffectiveTokens, r.clock.now()-now))
	}
	defer answer.finish()
	held := r.takeHandle(answer, stream.parts)
	if held == nil {
		stream.tried.excluded = append(stream.tried.excluded, engine)
	}
	return held
}

// notePace notes, here and at other relays, the time per token of a reading.
func (r *Relay) notePace(engine *backEnd, perToken time.Duration) {
	r.pace.observe(engine.hash, perToken)
	r.notices.notePace(engine, perToken)
}

// takeHandle reads the answer to the reading of a prompt; nil when it is none.
func (r *Relay) takeHandle(answer *answer, parts []placement.PrefixBlock) *heldPrompt {
	body, err := io.ReadAll(io.LimitReader(answer, maximumPrefillAnswer))
	if err != nil || answer.status != fasthttp.StatusOK {
		return nil
	}
	read, err := r.dialect.ParsePrefillAnswer(body)
	if err != nil {
		return nil
	}
	r.noteBorn(answer.message.backEnd, read.Born)
	return &heldPrompt{engine: answer.message.backEnd, handle: read.Handle, parts: parts}
}

// release gives a prompt up that nobody will take, in the background: it would take room
// until it lapses.
func (r *Relay) release(held *heldPrompt) {
	go r.exchanger.release(held, r.dialect.HandlePath(held.handle))
}
