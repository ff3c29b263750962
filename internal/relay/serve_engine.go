package relay

import (
	"io"
	"strconv"

	"github.com/valyala/fasthttp"

	"github.com/hazelpitch/hazelpitch/internal/serving"
	"github.com/hazelpitch/hazelpitch/internal/verdict"
)

const (
	// shortPrompt is the length up to which a decoding engine reads a prompt itself: a hand-over
	// would take longer than it saves.
	shortPrompt = 2_048
	// maximumPrefillAnswer bounds the answer to a reading of a prompt.
	maximumPrefillAnswer = 16 << 10
)

// heldPrompt is a prompt that an engine has read for another one.
type heldPrompt struct {
	engine *backEnd
	handle string
}

// source is how a decoding engine is told where the prompt is.
func (h *heldPrompt) source() string { return h.engine.Address + "/" + h.handle }

// serveStream serves a stream. From model engines a long prompt is read at a prefill
// engine and generated from at a decoding one.
func (r *Relay) serveStream(request *request, reply *replier) {
	tried := &attempts{relay: r, request: request}
	stream := &streamReply{relay: r, request: request, reply: reply, tried: tried,
		last: string(request.header.Peek(r.dialect.Headers.LastEventID))}
	held := r.readPrompt(request, tried)
	for tried.mayContinue() {
		wanted := choice{service: request.service.Name, stage: answeringStage(request.service), zone: r.settings.Zone, now: r.clock.now()}
		if held != nil {
			wanted.zone = held.engine.Zone
		}
		backEnd := r.pick(wanted, tried)
		if backEnd == nil {
			break
		}
		fault := stream.run(backEnd, held)
		held = nil // a handle serves once
		if fault == nil {
			return
		}
		r.log.attemptFailed(request, backEnd, fault)
		tried.note(backEnd, fault)
	}
	if held != nil {
		r.release(held)
	}
	r.finishRefused(tried, reply)
}

// readPrompt lets a prefill engine read a long prompt. It returns nil when the prompt is
// short or no engine has read it; a decoding engine then reads it itself.
func (r *Relay) readPrompt(request *request, tried *attempts) *heldPrompt {
	if request.service.Engine == nil || request.prompt.PromptTokens <= shortPrompt {
		return nil
	}
	parts := prefixes(request.prompt)
	engine := r.pick(choice{
		service: request.service.Name, stage: serving.StagePrefill, prompt: parts, tokens: request.prompt.PromptTokens,
		rank: request.route.Priority * prioritySteps,
		zone: r.settings.Zone, now: r.clock.now(), target: request.route.Target,
	}, tried)
	if engine == nil {
		return nil
	}
	now := r.clock.now()
	toRead := max(request.prompt.PromptTokens-engine.cache.cached(parts), 0)
	ahead := r.notices.table.others(now, engine.hash).plus(engine.look(now).own)
	rank := readingRank(request.route.Priority*prioritySteps, toRead)
	request.trace.toRead, request.trace.ahead = toRead, ahead.tokensUpTo(rank)
	request.trace.prefillEngine, request.trace.prefillAt = engine.ID, now
	r.work.add(request.service.Name, prefillTime(r.pace.of(engine.hash), toRead), 0)
	answer, fault := r.exchanger.send(&message{
		request: request, backEnd: engine, deadline: request.deadline, reads: parts,
		work: reading(toRead, rank).plus(work{prompts: 1}),
		set:  []header{r.rankHeader(rank), {r.dialect.Headers.Stage, r.dialect.PrefillStage}},
	})
	if fault == nil && ahead.prompts == 0 {
		r.pace.observe(engine.hash, toRead, r.clock.now()-now)
	}
	if fault != nil {
		r.log.attemptFailed(request, engine, fault)
		if fault.verdict == verdict.NotRun && fault.arrived {
			tried.sent++ // a rejected reading counts as an attempt
			tried.last = fault
		}
		return nil
	}
	defer answer.finish()
	body, err := io.ReadAll(io.LimitReader(answer, maximumPrefillAnswer))
	if err != nil || answer.status != fasthttp.StatusOK {
		return nil
	}
	handle, err := r.dialect.ParsePrefillAnswer(body)
	if err != nil {
		return nil
	}
	return &heldPrompt{engine: engine, handle: handle}
}

const (
	// prioritySteps is the number of ranks that one rank of a route is divided into.
	prioritySteps = 3
	// shortReading and longReading divide the prompts of one rank: short ones go first, as
	// they wait least and delay others least.
	shortReading = 5_000
	longReading  = 14_000
)

// readingRank ranks the reading of a prompt: by its route, and then by its length.
func readingRank(rank, toRead int) int {
	if toRead > shortReading {
		rank++
	}
	if toRead > longReading {
		rank++
	}
	return min(rank, ranks-1)
}

// rankHeader ranks a request at an engine.
func (r *Relay) rankHeader(rank int) header {
	return header{r.dialect.Headers.Priority, strconv.Itoa(min(max(rank, 0), ranks-1))}
}

// release gives a prompt up that nobody will take, in the background: it would take room
// until it lapses.
func (r *Relay) release(held *heldPrompt) {
	go r.exchanger.release(held, r.dialect.HandlePath(held.handle))
}
