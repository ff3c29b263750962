package relay

import (
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/hazelpitch/hazelpitch/internal/placement"
	"github.com/hazelpitch/hazelpitch/internal/relay/eventstream"
	"github.com/hazelpitch/hazelpitch/internal/relay/speeds"
	"github.com/hazelpitch/hazelpitch/internal/streamorigin"
	"github.com/hazelpitch/hazelpitch/internal/verdict"
)

// maxBatchBytes bounds the events that are sent to the client with one write.
const maxBatchBytes = 16 << 10

// streamReply forwards one stream to its client, from one engine after another. The client receives one answer: the head of
// the first engine's answer, and every event once, in order.
type streamReply struct {
	relay    *Relay
	request  *request
	reply    *replier
	attempts *attemptTracker
	// prefixBlocks are the prompt's blocks, in order.
	prefixBlocks []placement.PrefixBlock
	// position is how much of the stream the client has.
	position streamPosition
	// pending holds events that the next write sends.
	pending []byte
	// prefill is the prefilled prompt that the current run's engine fetches; nil when the engine prefills the prompt itself.
	prefill *remotePrefill
	// reservedRun is the engine for which a permit was acquired before the prefill; nil for none.
	reservedRun *backEndSelection
	// beganAt is the back end whose run produced the first event that this relay has sent to the client; nil before.
	beganAt *backEnd
	// beganAtTime is when that event arrived.
	beganAtTime time.Duration
	origin      streamOrigin
	// hasEvents is true if the current run has produced events.
	hasEvents bool
	// mover can migrate the current run to another engine; nil when that is impossible. migrated is where a migrated run
	// continues.
	mover    *runMover
	migrated *migratedRun
	// hasLeftSlowEngine is true if the stream was asked to move because its engine was too slow. It moves only once.
	hasLeftSlowEngine bool
}

// rank returns the request's rank in the queues of engines.
func (s *streamReply) rank() placement.Rank { return s.request.rank }

// placementRequest describes the decoding engine that is needed, which also prefills the prompt unless prefill is set.
func (s *streamReply) placementRequest(prefill *remotePrefill) placement.Request {
	criteria := placement.Request{
		Now: s.relay.clock.now(), Stage: answeringStage(s.request.service), Zone: s.relay.settings.Zone, Rank: s.rank(),
		MayHaveRun: s.attempts.mayHaveRun || s.attempts.isBound(), // a stream that has begun is not refused for load
	}
	if engine := s.request.service.Engine; engine != nil {
		criteria.Gap, criteria.Stride = s.request.route.TargetGap, engine.Stride
	}
	if prefill != nil {
		criteria.Zone = prefill.engine.Zone
		return criteria
	}
	criteria.Prompt, criteria.Tokens = s.prefixBlocks, s.request.prompt.PromptTokens
	if engine := s.request.service.Engine; engine != nil && criteria.Tokens > 0 {
		criteria.TokenTransferTime = tokenTransferTime(engine)
		criteria.Target = s.request.route.Target
	}
	return criteria
}

// prefillQuery returns the query that asks where to prefill the prompt.
func (s *streamReply) prefillQuery(criteria placement.Request) *engineQuery {
	query := newEngineQuery(purposeBegin, s.attempts, criteria)
	query.hasPermit = s.reservedRun != nil
	return query
}

// runOn sends the request to an engine and forwards its stream. It returns nil when the client has its final answer; after
// a failure the stream may continue at another engine.
func (s *streamReply) runOn(selection *backEndSelection, prefill *remotePrefill) *failure {
	defer s.beginRun(selection, prefill)()
	s.request.trace.sentAt = s.relay.clock.now()
	message := s.runMessage(selection, prefill)
	message.onVersion = func(version streamorigin.Version) { s.origin.version = version }
	message.reserve, message.keep = s.attempts.replacement(selection.backEnd, stallLimit(s.request.route), s, nil), s.attempts.keepCurrent
	answer, fault := s.relay.exchanger.send(message)
	if fault != nil {
		s.recordSourceCached(fault)
		return fault
	}
	if !isEventStream(answer) {
		return s.forwardOther(answer)
	}
	defer answer.finish()
	return s.forwardEvents(answer, eventstream.NewReader(answer, answer.memory))
}

// beginRun records that the request is sent to an engine, or that its run there becomes the current one. The returned function records
// the end of the run.
func (s *streamReply) beginRun(selection *backEndSelection, prefill *remotePrefill) (end func()) {
	engine, now := selection.backEnd, s.relay.clock.now()
	s.prefill, s.hasEvents = prefill, false
	s.request.trace.engine = engine.ID
	if owner := selection.assignment.owner; owner != "" {
		s.request.trace.owner = owner
	}
	s.recordForecast(selection.Pause)
	if !engine.isEngine() {
		return func() {}
	}
	endRun := s.relay.work.BeginRun(now, s.request.service.Name, engine.Slots)
	if selection.EffectiveTokens > 0 { // counted as demand for prefill engines, which could have prefilled the prompt instead
		s.relay.recordPrefillDemand(s.request.service.Name, engine, selection.EffectiveTokens)
	}
	return func() { endRun(s.relay.clock.now()) }
}

// runMessage returns the message that begins or continues the stream at an engine.
func (s *streamReply) runMessage(selection *backEndSelection, prefill *remotePrefill) *message {
	engine, names := selection.backEnd, s.relay.dialect.Headers
	headers := []header{s.relay.priorityHeader(s.rank().First)}
	if prefill != nil {
		headers = append(headers, header{names.KVSource, prefill.sourceHeader()})
	}
	if lastID := s.position.lastID(); lastID != "" {
		headers = append(headers, header{names.LastEventID, lastID})
	}
	work := placement.Work{Streams: 1}
	if prefill == nil {
		work = work.Plus(placement.PrefillWork(selection.EffectiveTokens, s.rank().First))
		if selection.fetchFrom != nil {
			headers = append(headers, header{names.KVFetch, selection.fetchFrom.Address})
		}
	}
	prefillTime := placement.PrefillTime(s.relay.prefillSpeed.timePerToken(engine.hash), s.relay.policy.DecodeSlowdown*work.PromptTokens())
	return &message{
		request: s.request, backEnd: engine, deadline: s.exchangeDeadline(), headers: headers, work: work, prefixBlocks: s.prefixBlocks, selection: selection,
		dependsOnVersion: s.dependsOnVersion(selection), isBound: s.attempts.isBound(), stall: stallLimit(s.request.route) + prefillTime,
	}
}

// exchangeDeadline returns when the next exchange must end.
func (s *streamReply) exchangeDeadline() time.Duration {
	if s.position.hasBegun() {
		return s.request.cutoff
	}
	return s.request.deadline
}

// recordForecast records the forecast for the stream's pauses at the engine of the current run.
func (s *streamReply) recordForecast(forecast placement.PauseForecast) {
	s.request.trace.pause = forecast
	if forecast != placement.PauseUnknown {
		s.relay.metrics.pauseForecasts.WithLabelValues(forecast.String()).Inc()
	}
}

func isEventStream(answer *answer) bool {
	return answer.status == fasthttp.StatusOK && !answer.hasNoBody() &&
		strings.HasPrefix(string(answer.head.ContentType()), "text/event-stream")
}

// forwardOther forwards an answer that is not an event stream, such as an error of the engine.
func (s *streamReply) forwardOther(answer *answer) *failure {
	if s.reply.started {
		answer.finish()
		return errorAnswerFailure()
	}
	return s.relay.forwardPlain(answer, s.attempts, s.reply)
}

// forwardEvents forwards events as they arrive. Another back end may replace the answer while its back end is silent.
func (s *streamReply) forwardEvents(answer *answer, events *eventstream.Reader) *failure {
	defer s.releaseMigrated()
	defer func() {
		if !s.hasEvents {
			s.relay.exchanger.recordAbandonedPrefill(answer.message)
			s.recordSourceCached(&failure{verdict: verdict.MayHaveRun})
		}
	}()
	gaps := &speeds.GapMeter{}
	limit := stallLimit(s.request.route)
	watch := s.relay.exchanger.watchStall(answer.connection, answer.message.backEnd, limit, s.attempts.replacement(answer.message.backEnd, limit, s, nil))
	defer watch.stop()
	for {
		event, err := events.Next()
		if err != nil {
			watch.stop()
			return s.endRun(answer, event, err)
		}
		watch.recordReceived()
		if !s.attempts.keepCurrent() {
			watch.stop()
			return s.endRun(answer, event, s.relay.exchanger.replacedFailure(answer.message))
		}
		s.addEvent(event)
		s.recordGap(gaps, answer.message.backEnd)
		if !events.HasEvent() || len(s.pending) > maxBatchBytes {
			s.flush(answer)
		}
		if s.reply.aborted {
			return nil // the client has disconnected
		}
	}
}

// recordGap records the arrival of an event of a run at an engine, from which the engine's speed is estimated.
func (s *streamReply) recordGap(gaps *speeds.GapMeter, engine *backEnd) {
	if s.request.service.Engine == nil {
		return
	}
	now := s.relay.clock.now()
	step := gaps.Arrived(now, s.request.service.Engine.Stride)
	if step == 0 {
		return
	}
	s.relay.speeds.ObserveStep(now, engine.Service, engine.hash, step, engine.currentLoad(now).ownWork.Streams)
	engine.recordStep(step)
	if s.mover != nil && !s.hasLeftSlowEngine && s.relay.speeds.IsSlow(engine.Service, engine.hash) && s.relay.policy.ShouldMigrate(s.progress(now, gaps, step)) {
		s.hasLeftSlowEngine = true
		go s.mover.migrateToFaster()
	}
}

// progress returns the progress of the current run, whose decode steps take the given time.
func (s *streamReply) progress(now time.Duration, gaps *speeds.GapMeter, step time.Duration) placement.RunProgress {
	stride := s.request.service.Engine.Stride
	return placement.RunProgress{
		EventTime: time.Duration(stride) * step, RemainingEvents: s.request.prompt.OutputTokens/stride - gaps.Events(),
		TimeLeft: s.request.deadline - now, TimeAllowed: s.request.deadline - s.request.arrivedAt,
	}
}

// addEvent appends an event to the next write, unless the client has it already.
func (s *streamReply) addEvent(event eventstream.Event) {
	if lastID := s.position.lastID(); event.ID != "" && lastID != "" && !event.IsAfter(lastID) {
		return
	}
	s.pending = append(s.pending, event.Bytes...)
	s.position.addEvent(event.ID)
}

// flush writes the pending events.
func (s *streamReply) flush(answer *answer) {
	if len(s.pending) == 0 {
		return
	}
	s.request.trace.recordEvents(s.relay.clock.now())
	s.recordFirstEvent(answer)
	if s.beganAt == nil {
		s.beganAt, s.beganAtTime = answer.message.backEnd, s.relay.clock.now()
		s.recordOrigin()
	}
	if s.reply.started {
		s.reply.send(s.pending)
	} else {
		s.reply.sendFirst(answer, s.pending)
		s.request.canceller.extend(s.relay.clock, s.request.cutoff)
	}
	s.pending = shrunk(s.pending)
}

// shrunk returns an empty buffer for the next write. It does not keep the memory of a long event.
func shrunk(buffer []byte) []byte {
	if cap(buffer) > maxKeptBytes {
		return nil
	}
	return buffer[:0]
}

// maxKeptBytes bounds the memory that is kept for the next write: two batches of events.
const maxKeptBytes = 2 * maxBatchBytes

// recordSourceCached records that the engine that prefilled the prompt has it cached for any request: an engine that may
// have run the request has most likely fetched it.
func (s *streamReply) recordSourceCached(fault *failure) {
	if s.prefill != nil && fault.verdict != verdict.NotRun {
		s.relay.exchanger.recordCached(s.prefill.engine, s.prefixBlocks)
	}
}

// recordFirstEvent records, at a run's first event, that its engine has prefilled the prompt or fetched it from another
// engine. From now on both have it cached for other requests.
func (s *streamReply) recordFirstEvent(answer *answer) {
	if s.hasEvents {
		return
	}
	s.hasEvents = true
	s.beginOrigin()
	s.attempts.bind(s.origin.version) // before a mover may select another engine
	if engine := s.request.service.Engine; engine != nil && engine.Movable {
		s.mover = newRunMover(s, answer.message.backEnd)
	}
	s.relay.recordRun(s.request, s.relay.clock.now())
	answer.recordPrefillDone()
	exchanger := s.relay.exchanger
	exchanger.recordCached(answer.message.backEnd, s.prefixBlocks)
	if s.prefill != nil {
		exchanger.recordCached(s.prefill.engine, s.prefixBlocks)
	}
}

// finishMover ends the time in which the current run can be migrated, since it produces no more events. It waits for a
// migration in progress and returns where the run continues; nil when it was not migrated.
func (s *streamReply) finishMover() *migratedRun {
	if s.mover == nil {
		return nil
	}
	mover := s.mover
	s.mover = nil
	return mover.finish()
}

// releaseMigrated releases the KV cache of a migrated run whose answer has ended. It does not wait for a migration in
// progress: the connection of the client may carry the next request.
func (s *streamReply) releaseMigrated() {
	mover := s.mover
	s.mover = nil
	if mover == nil || !mover.end() {
		return
	}
	go func() {
		if migrated := <-mover.outcome; migrated != nil {
			s.relay.release(migrated.prefill)
		}
	}()
}

// finish writes the pending events, the bytes after the last event (remainder), and the end of the stream.
func (s *streamReply) finish(answer *answer, remainder eventstream.Event) {
	lastID := s.position.lastID()
	if len(remainder.Bytes) > 0 && (remainder.ID == "" || lastID == "" || remainder.IsAfter(lastID)) {
		s.pending = append(s.pending, remainder.Bytes...)
	}
	if !s.reply.started {
		s.reply.sendFirst(answer, nil)
	}
	s.reply.finish(s.pending, answer.body.End())
	s.pending = s.pending[:0]
}
