package relay

import (
	"errors"
	"fmt"
	"io"

	"github.com/hazelpitch/hazelpitch/internal/http1/framing"
	"github.com/hazelpitch/hazelpitch/internal/relay/eventstream"
	"github.com/hazelpitch/hazelpitch/internal/verdict"
)

// endRun handles the end of the current run's events: err is that of the event reader, and remainder holds the bytes after the last
// event. It returns nil when the client has its final answer; otherwise the stream may continue at another engine.
func (s *streamReply) endRun(answer *answer, remainder eventstream.Event, err error) *failure {
	hasEnded := framing.IsEnd(err)
	if hasEnded {
		answer.message.backEnd.recordReceived(s.relay.clock.now())
		s.request.trace.endsInEvent = remainder.IsCut()
	}
	isDeclared := errors.Is(err, io.EOF) && !remainder.IsCut()
	if !isDeclared {
		s.flush(answer)
		s.migrated = s.finishMover()
	}
	switch {
	case !hasEnded && s.migrated != nil: // the engine has stopped the run on request
		answer.fault = nil
		return asFailure(err)
	case !hasEnded:
		return answer.recordFault(asFailure(err))
	case remainder.IsCut():
		return s.breakRun(answer, errEndsInEvent)
	case !isDeclared && (s.migrated != nil || s.needsDeclaredEnd()):
		return s.breakRun(answer, framing.ErrUndeclaredEnd)
	}
	if !s.attempts.keepCurrent() {
		s.flush(answer)
		s.migrated = s.finishMover()
		return s.relay.exchanger.replacedFailure(answer.message)
	}
	s.finish(answer, remainder)
	return nil
}

// needsDeclaredEnd reports whether an end that the engine has not declared cannot be passed on to the client: the client's answer
// has chunks, of which the last one would declare the end, or the stream has no event at all.
func (s *streamReply) needsDeclaredEnd() bool {
	if s.reply.started {
		return s.reply.framing != framing.Close
	}
	return s.position.lastID() == ""
}

// breakRun records that the current run's answer is incomplete, or may be, although it was read up to its end.
func (s *streamReply) breakRun(answer *answer, cause error) *failure {
	answer.body.MarkBroken()
	return answer.recordFault(&failure{
		verdict: verdict.MayHaveRun, mayHaveArrived: true, cause: fmt.Errorf("%w: %w", errConnectionBroken, cause),
		observation: s.relay.exchanger.observe(answer.message),
	})
}
