package relay

import (
	"io"

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
	engine := r.pick(choice{
		service: request.service.Name, stage: serving.StagePrefill, key: request.prompt.SharedKey(),
		zone: r.settings.Zone, now: r.clock.now(),
	}, tried)
	if engine == nil {
		return nil
	}
	r.work.prompt(r.clock.now(), request.service.Name, 1)
	defer func() { r.work.prompt(r.clock.now(), request.service.Name, -1) }()
	request.trace.prefillEngine, request.trace.prefillAt = engine.ID, r.clock.now()
	answer, fault := r.exchanger.send(&message{
		request: request, backEnd: engine, deadline: request.deadline, promptTokens: request.prompt.PromptTokens,
		set: append(r.priority(request), header{r.dialect.Headers.Stage, r.dialect.PrefillStage}),
	})
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

// priority ranks the request at an engine as its route says.
func (r *Relay) priority(request *request) []header {
	rank := min(max(request.route.Priority, 0), 9)
	return []header{{r.dialect.Headers.Priority, string(rune('0' + rank))}}
}

// release gives a prompt up that nobody will take, in the background: it would take room
// until it lapses.
func (r *Relay) release(held *heldPrompt) {
	go r.exchanger.release(held, r.dialect.HandlePath(held.handle))
}
