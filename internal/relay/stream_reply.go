package relay

import (
	"errors"
	"io"
	"strings"

	"github.com/valyala/fasthttp"

	"github.com/hazelpitch/hazelpitch/internal/placement"
	"github.com/hazelpitch/hazelpitch/internal/verdict"
)

// maximumBatch bounds the events that are passed on with one write.
const maximumBatch = 16 << 10

// streamReply passes one stream on to its client, from one engine after another. The
// client sees one answer: the head of the first engine, and every event once, in order.
type streamReply struct {
	relay   *Relay
	request *request
	reply   *replier
	tried   *attempts
	// parts are those of the prompt, in order.
	parts []placement.PrefixBlock
	// last is the identity of the last event that the client has.
	last string
	// pieces are events that wait for the next write.
	pieces []byte
	// held is the prompt that the engine of the present run takes, nil where it reads itself.
	held *heldPrompt
	// reserved is the engine for which a permit was taken before the prompt is read; nil for none.
	reserved *place
	// begun tells that the present run has brought events.
	begun bool
	// mover moves the present run to another engine; nil where that cannot be. moved is where a
	// run goes on that was moved.
	mover *runMover
	moved *movedRun
}

// rank is that of the request at engines.
func (s *streamReply) rank() placement.Rank { return s.request.rank }

// wanted describes the engine that is to generate, and to read the prompt unless held.
func (s *streamReply) wanted(held *heldPrompt) placement.Request {
	wanted := placement.Request{
		Now: s.relay.clock.now(), Stage: answeringStage(s.request.service), Zone: s.relay.settings.Zone, Rank: s.rank(),
		MayHaveRun: s.tried.mayHaveRun,
	}
	if held != nil {
		wanted.Zone = held.engine.Zone
		return wanted
	}
	wanted.Prompt, wanted.Tokens = s.parts, s.request.prompt.PromptTokens
	if engine := s.request.service.Engine; engine != nil && wanted.Tokens > 0 {
		wanted.TokenTransferTime = tokenMoveTime(engine)
		wanted.Target, wanted.Gap, wanted.Stride = s.request.route.Target, s.request.route.TargetGap, engine.Stride
	}
	return wanted
}

// beginning is the question where the prompt is read.
func (s *streamReply) beginning(wanted placement.Request) *engineQuery {
	query := queryOf(toBegin, s.tried, wanted)
	query.reserved = s.reserved != nil
	return query
}

// run sends the request to an engine and passes its stream on. The failure is nil when the
// client has its final answer; otherwise the stream may go on at another engine.
func (s *streamReply) run(chosen *place, held *heldPrompt) *failure {
	engine := chosen.backEnd
	s.held, s.begun = held, false
	names := s.relay.dialect.Headers
	set := []header{s.relay.rankHeader(s.rank().First)}
	if held != nil {
		set = append(set, header{names.KVSource, held.source()})
	}
	if s.last != "" {
		set = append(set, header{names.LastEventID, s.last})
	}
	began := s.relay.clock.now()
	if engine.isEngine() {
		ended := s.relay.work.BeginRun(began, s.request.service.Name, engine.Slots)
		defer func() { ended(s.relay.clock.now()) }()
		if chosen.EffectiveTokens > 0 { // prefill engines could read it as well, in the time that counts
			s.relay.noteAskedReading(s.request.service.Name, engine, chosen.EffectiveTokens)
		}
	}
	s.request.trace.engine, s.request.trace.sentAt = engine.ID, began
	asked := placement.Work{Streams: 1}
	if held == nil {
		asked = asked.Plus(placement.PrefillWork(chosen.EffectiveTokens, s.rank().First))
		if chosen.fetchFrom != nil {
			set = append(set, header{names.KVFetch, chosen.fetchFrom.Address})
		}
	}
	answer, fault := s.relay.exchanger.send(&message{request: s.request, backEnd: engine, deadline: s.request.deadline, set: set, work: asked, reads: s.parts, chosen: chosen,
		stall: stallLimit(s.request.route) + placement.PrefillTime(s.relay.pace.of(engine.hash), s.relay.policy.DecodeSlowdown*asked.PromptTokens()), mayBreak: s.mayMove()})
	if fault != nil {
		s.noteTaken(fault)
		return fault
	}
	if !isEventStream(answer) {
		return s.passOther(answer)
	}
	defer answer.finish()
	return s.passEvents(answer)
}

// mayMove reports whether the stream may be taken up at another engine.
func (s *streamReply) mayMove() bool { return s.tried.leaveAnother() }

func isEventStream(answer *answer) bool {
	return answer.status == fasthttp.StatusOK &&
		strings.HasPrefix(string(answer.head.ContentType()), "text/event-stream")
}

// passOther passes an answer on that is no stream: a failure of the engine's own.
func (s *streamReply) passOther(answer *answer) *failure {
	if s.reply.started {
		answer.finish()
		return &failure{verdict: failedAnswer.verdict, arrived: true, cause: failedAnswer.cause}
	}
	return s.relay.passPlain(answer, s.tried, s.reply)
}

// passEvents passes events on as they arrive.
func (s *streamReply) passEvents(answer *answer) *failure {
	defer s.dropMoved()
	defer func() {
		if !s.begun {
			s.relay.exchanger.noteGivenUp(answer.message)
			s.noteTaken(&failure{verdict: verdict.MayHaveRun})
		}
	}()
	events := newEventReader(answer)
	watch := s.relay.exchanger.watchStall(answer.connection, answer.message.backEnd, stallLimit(s.request.route), s.mayMove())
	defer watch.stop()
	for {
		event, err := events.next()
		watch.heard()
		if err != nil && !errors.Is(err, io.EOF) {
			s.flush(answer)
			s.moved = s.endMover()
			return asFailure(err)
		}
		if err == nil {
			s.add(event)
		}
		if errors.Is(err, io.EOF) {
			s.end(answer, event)
			return nil
		}
		if !events.buffered() || len(s.pieces) > maximumBatch {
			s.flush(answer)
		}
		if s.reply.failed {
			return nil // the client has gone
		}
	}
}

// add takes an event that the client does not have yet.
func (s *streamReply) add(event event) {
	if event.id != "" && s.last != "" && !event.after(s.last) {
		return
	}
	s.pieces = append(s.pieces, event.bytes...)
	if event.id != "" {
		s.last = event.id
	}
}

// flush writes the events that wait.
func (s *streamReply) flush(answer *answer) {
	if len(s.pieces) == 0 {
		return
	}
	s.request.trace.passed(s.relay.clock.now())
	s.noteBegun(answer)
	if s.reply.started {
		s.reply.chunk(s.pieces)
	} else {
		s.reply.beginChunks(answer, s.pieces)
	}
	s.pieces = s.pieces[:0]
}

// noteTaken notes that an engine which may have run the request has most likely taken the
// prompt from the one that had read it, so that this one keeps it for any request.
func (s *streamReply) noteTaken(fault *failure) {
	if s.held != nil && fault.verdict != verdict.NotRun {
		s.relay.exchanger.noteKept(s.held.engine, s.parts)
	}
}

// noteBegun notes at a run's first event that its engine has read the prompt or taken it from
// another one: both keep it for other requests from now on.
func (s *streamReply) noteBegun(answer *answer) {
	if s.begun {
		return
	}
	s.begun = true
	if engine := s.request.service.Engine; engine != nil && engine.Movable {
		s.mover = newRunMover(s, answer.message.backEnd)
	}
	s.relay.noteRun(s.request, s.relay.clock.now())
	answer.promptRead()
	exchanger := s.relay.exchanger
	exchanger.noteKept(answer.message.backEnd, s.parts)
	if s.held != nil {
		exchanger.noteKept(s.held.engine, s.parts)
	}
}

// endMover notes that the present run brings no more events. It returns where the run goes on, nil
// when it was not moved.
func (s *streamReply) endMover() *movedRun {
	if s.mover == nil {
		return nil
	}
	mover := s.mover
	s.mover = nil
	return mover.end()
}

// dropMoved gives up the memory of a run that was moved for a client that has gone.
func (s *streamReply) dropMoved() {
	if moved := s.endMover(); moved != nil {
		s.relay.release(moved.held)
	}
}

// end writes what is left and tells that the stream is whole.
func (s *streamReply) end(answer *answer, rest event) {
	if len(rest.bytes) > 0 && (rest.id == "" || s.last == "" || rest.after(s.last)) {
		s.pieces = append(s.pieces, rest.bytes...)
	}
	if !s.reply.started {
		s.reply.beginChunks(answer, nil)
	}
	s.reply.lastChunk(s.pieces)
	s.pieces = s.pieces[:0]
}
