package relay

import (
	"errors"
	"io"

	"github.com/hazelpitch/hazelpitch/internal/http1/framing"
	"github.com/hazelpitch/hazelpitch/internal/placement"
	"github.com/hazelpitch/hazelpitch/internal/relay/eventstream"
)

// prepareSearch implements replaceable.
func (s *streamReply) prepareSearch(usable []*backEnd, excluded []uint64) findBackEnd {
	if s.request.service.Engine == nil {
		return s.attempts.searchFreeSlot(usable)
	}
	return s.searchEngine(excluded)
}

// searchEngine returns the search for a decoding engine that prefills the prompt again and continues the stream; nil if there
// is none by what this relay knows.
func (s *streamReply) searchEngine(excluded []uint64) findBackEnd {
	criteria := s.placementRequest(nil)
	criteria.MayHaveRun = true
	query := newEngineQuery(purposeDecode, s.attempts, criteria)
	if !s.wouldPlace(query, excluded) {
		return nil
	}
	return func(<-chan struct{}) (*backEndSelection, plainSlot) {
		selection := s.relay.decide(s.request, query, nil).selection
		if selection != nil {
			selection.backEnd.addWork(placement.Work{Streams: 1})
		}
		return selection, plainSlot{}
	}
}

// newMessage implements replaceable.
func (s *streamReply) newMessage(selection *backEndSelection) *message {
	return s.runMessage(selection, nil)
}

// awaitAnswer implements replaceable. A back end answers a stream with its first event, or with its declared end.
func (s *streamReply) awaitAnswer(answer *answer, stall func() *stallWatch) (*awaitedAnswer, *failure) {
	if !isEventStream(answer) {
		if s.position.hasBegun() {
			answer.finishUnused()
			return nil, errorAnswerFailure()
		}
		return s.relay.awaitWhole(answer)
	}
	awaited := &awaitedAnswer{answer: answer, events: eventstream.NewReader(answer, answer.memory)}
	watch := stall()
	event, err := awaited.events.Peek()
	watch.stop()
	if err == nil || errors.Is(err, io.EOF) && !event.IsCut() {
		return awaited, nil
	}
	fault := answer.recordFault(asFailure(err))
	switch {
	case framing.IsEnd(err) && event.IsCut():
		fault = s.breakRun(answer, errEndsInEvent)
	case framing.IsEnd(err):
		fault = s.breakRun(answer, framing.ErrUndeclaredEnd)
	}
	answer.abandon()
	return nil, fault
}

// runReplacement makes the run of a replacement the current one, and forwards its stream. It returns nil when the client has its final
// answer.
func (s *streamReply) runReplacement(replacing *replacementAttempt) *failure {
	if replacing.fault != nil {
		s.attempts.keepFallback(replacing.fallback)
		return replacing.fault
	}
	s.request.trace.sentAt = replacing.startedAt
	defer s.beginRun(replacing.selection, nil)()
	s.origin.version = replacing.version
	s.recordContinuation(replacing.selection)
	answer := replacing.answer
	defer answer.finish()
	if answer.events == nil {
		return s.relay.forwardAwaited(answer, s.reply)
	}
	return s.forwardEvents(answer.answer, answer.events)
}
