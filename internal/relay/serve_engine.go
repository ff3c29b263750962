package relay

import (
	"io"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/hazelpitch/hazelpitch/internal/serving"
)

// maximumPrefillAnswer bounds the answer to a reading of a prompt.
const maximumPrefillAnswer = 16 << 10

// heldPrompt is a prompt that an engine has read for another one.
type heldPrompt struct {
	engine *backEnd
	handle string
	parts  []promptPart
}

// source is how a decoding engine is told where the prompt is.
func (h *heldPrompt) source() string { return h.engine.Address + "/" + h.handle }

// serveStream serves a stream. From model engines the prompt is read at a prefill engine and
// generated from at a decoding one, or both are done at a decoding one.
func (r *Relay) serveStream(request *request, reply *replier) {
	tried := &attempts{relay: r, request: request}
	stream := &streamReply{relay: r, request: request, reply: reply, tried: tried,
		parts: partsOf(request.prompt), last: string(request.header.Peek(r.dialect.Headers.LastEventID))}
	begun := r.beginStream(stream)
	if begun.refused != nil {
		r.log.refused(request, *begun.refused, tried)
		reply.refuse(*begun.refused)
		return
	}
	chosen, held := begun.direct, begun.held
	for tried.mayContinue() {
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
		r.log.attemptFailed(request, engine, fault)
		tried.note(engine, fault)
		chosen = nil
	}
	if held != nil {
		r.release(held)
	}
	r.finishRefused(tried, reply)
}

// nextEngine picks the decoding engine that goes on with a stream; nil when there is none, or
// none that may read the prompt itself.
func (r *Relay) nextEngine(stream *streamReply, held *heldPrompt) *candidate {
	best := r.best(stream.wanted(held), stream.tried)
	if best == nil || held == nil && !r.mayReadItself(stream, best) {
		return nil
	}
	return best
}

// mayReadItself reports whether a decoding engine may read what is left of a prompt. While it
// reads a long one its other streams pause and new ones wait, so it does so only where nothing
// else waits to be read, and, for a request that can still come back, where few streams run.
func (r *Relay) mayReadItself(stream *streamReply, chosen *candidate) bool {
	if stream.request.service.Engine == nil || chosen.toRead <= longestDirect {
		return true
	}
	total := r.totalWork(r.clock.now(), chosen)
	if total.promptTokens() > longestDirect {
		return false
	}
	return stream.tried.mayHaveRun || total.streams <= fewStreams
}

// start says where a stream begins: at a decoding engine that reads the prompt itself, with a
// prompt that a prefill engine has read, or nowhere because too much waits.
type start struct {
	direct  *candidate
	held    *heldPrompt
	refused *refusal
}

// beginStream decides where the prompt is read, and has it read there when that is at a
// prefill engine.
func (r *Relay) beginStream(stream *streamReply) start {
	request := stream.request
	if request.service.Engine == nil || request.prompt.PromptTokens == 0 {
		return start{}
	}
	chosen := r.placeReading(stream)
	for waits := 0; waits < mostReadingWaits && chosen != nil && chosen.unusable >= leastUnusable; waits++ {
		if !r.awaitReading(stream, chosen) {
			break
		}
		chosen = r.placeReading(stream)
	}
	switch {
	case chosen == nil:
		return start{}
	case chosen.backEnd.Stage != serving.StagePrefill:
		return start{direct: chosen}
	case chosen.waiting > time.Duration(longestWaitShare*float64(request.route.Target)):
		return start{refused: &refusal{
			status: fasthttp.StatusServiceUnavailable, reason: "too many prompts wait to be read", retryAfter: chosen.waiting / 2,
		}}
	default:
		return start{held: r.readTwice(stream, chosen)}
	}
}

// placeReading chooses the engine that reads the prompt: a prefill engine, or the decoding one
// that generates; nil when none is left.
func (r *Relay) placeReading(stream *streamReply) *candidate {
	wanted := stream.wanted(nil)
	direct := r.best(wanted, stream.tried)
	apart := r.best(wanted.atPrefill(stream.request.route), stream.tried)
	if apart == nil || direct != nil && r.readsDirectly(direct, apart) {
		return direct
	}
	return apart
}

// atPrefill is the choice of the prefill engine that reads the prompt in place of the decoding
// one.
func (c choice) atPrefill(route *serving.Route) choice {
	c.stage, c.target = serving.StagePrefill, route.Target
	return c
}

// readTwice lets a prefill engine read a prompt, and another one when the first has failed
// and the route's attempts leave one for the reading and one for the run.
func (r *Relay) readTwice(stream *streamReply, chosen *candidate) *heldPrompt {
	held := r.readPrompt(stream, chosen)
	tried := stream.tried
	if held != nil || tried.over() || tried.sent+1 >= stream.request.route.MaxAttempts {
		return held
	}
	next := r.best(stream.wanted(nil).atPrefill(stream.request.route), tried)
	if next == nil || !r.budget.take(r.clock.now(), stream.request.service.Name) {
		return nil
	}
	tried.sent++ // a further reading counts as an attempt
	return r.readPrompt(stream, next)
}

const (
	// longestDirect is the longest reading that a decoding engine takes on while a prefill
	// engine could: its streams would pause too long.
	longestDirect = 2_048
	// fewStreams is how many streams may be held up by a long reading.
	fewStreams = 2
	// longestWaitShare is how many targets of its route a prompt may wait to be read: one that
	// waits longer would be late, and those behind it too.
	longestWaitShare = 1.2
)

// readsDirectly reports whether a decoding engine had better read the prompt itself.
func (r *Relay) readsDirectly(direct, apart *candidate) bool {
	return direct.toRead <= longestDirect && direct.cost <= apart.cost+handOverTime.Seconds()
}

// readPrompt lets a prefill engine read a prompt. It returns nil when it has not.
func (r *Relay) readPrompt(stream *streamReply, chosen *candidate) *heldPrompt {
	request, engine, now := stream.request, chosen.backEnd, r.clock.now()
	rank := readingRank(stream.rank(), chosen.toRead)
	ahead := r.notices.table.others(now, engine.hash).plus(engine.look(now).own)
	request.trace.prefill(engine, now, chosen.toRead, ahead.tokensUpTo(rank), ahead.promptTokens())
	perToken := r.pace.of(engine.hash)
	r.work.add(request.service.Name, prefillTime(perToken, chosen.effort), 0)
	set := []header{r.rankHeader(rank), {r.dialect.Headers.Stage, r.dialect.PrefillStage}}
	if chosen.fetchFrom != nil {
		set = append(set, header{r.dialect.Headers.KVFetch, chosen.fetchFrom.Address})
	}
	answer, fault := r.exchanger.send(&message{
		request: request, backEnd: engine, deadline: request.deadline, reads: stream.parts, set: set,
		work:     reading(chosen.effort, rank).plus(work{prompts: 1}),
		stall:    prefillStall + time.Duration(prefillStallShare*float64(waitingTime(ahead, ranks-1, perToken)+prefillTime(perToken, chosen.effort))),
		mayBreak: true,
	})
	if fault != nil {
		r.log.attemptFailed(request, engine, fault)
		stream.tried.noteReading(engine, fault)
		return nil
	}
	if ahead.prompts == 0 && chosen.fetchFrom == nil {
		r.notePace(engine, observedPace(chosen.effort, r.clock.now()-now))
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
func (r *Relay) takeHandle(answer *answer, parts []promptPart) *heldPrompt {
	body, err := io.ReadAll(io.LimitReader(answer, maximumPrefillAnswer))
	if err != nil || answer.status != fasthttp.StatusOK {
		return nil
	}
	handle, err := r.dialect.ParsePrefillAnswer(body)
	if err != nil {
		return nil
	}
	return &heldPrompt{engine: answer.message.backEnd, handle: handle, parts: parts}
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
