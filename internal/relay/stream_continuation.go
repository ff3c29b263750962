package relay

import (
	"errors"

	"github.com/rs/zerolog"

	"github.com/hazelpitch/hazelpitch/internal/events"
	"github.com/hazelpitch/hazelpitch/internal/streamorigin"
)

// continuationCause says why a stream of which the client has events is sent to a back end.
type continuationCause string

// Causes of continuations.
const (
	// continuedAfterBreak: the stream's back end broke off. continuedAfterSilence: it was silent, and is replaced.
	continuedAfterBreak   continuationCause = "break"
	continuedAfterSilence continuationCause = "silence"
	// continuedByMove: the run was moved to another engine, or stays after an attempt to move it.
	continuedByMove continuationCause = "move"
	// continuedByClient: the client has taken the stream up. continuedByRelay: another relay has forwarded it.
	continuedByClient continuationCause = "client"
	continuedByRelay  continuationCause = "relay"
)

// softwareMatch says whether a stream goes on at the version of the software that began it.
type softwareMatch string

// Results of the comparison.
const (
	softwareSame    softwareMatch = "same"
	softwareOther   softwareMatch = "other"
	softwareUnknown softwareMatch = "unknown"
)

// compareVersions compares the version that began a stream with that of the back end at which it goes on.
func compareVersions(began, next streamorigin.Version) softwareMatch {
	switch {
	case began <= streamorigin.Unknown || next <= streamorigin.Unknown:
		return softwareUnknown
	case began == next:
		return softwareSame
	default:
		return softwareOther
	}
}

// recordContinuation records that a stream is sent to a back end, if the client has events of it already.
func (s *streamReply) recordContinuation(selection *backEndSelection) {
	if s.position.lastID() == "" && !s.reply.started {
		return
	}
	cause, from := s.continuationCause(selection), ""
	if s.beganAt != nil {
		from = s.beganAt.ID
	}
	began, next := s.attempts.binding(), selection.backEnd
	match, evidence := compareVersions(began, next.version), s.originEvidence()
	s.relay.metrics.continuations.WithLabelValues(string(cause), string(match), evidence.source).Inc()
	s.relay.log.line(zerolog.InfoLevel, events.StreamContinued, s.request).Str("cause", string(cause)).Str("from", from).
		Str("back_end", next.ID).Str("software", string(match)).
		Str("began_software", s.relay.softwareName(s.request.service.Name, began)).Str("next_software", next.Software).
		Str("evidence", evidence.source).Int64("evidence_age_ms", (s.relay.clock.now() - evidence.madeAt).Milliseconds()).Send()
}

func (s *streamReply) continuationCause(selection *backEndSelection) continuationCause {
	switch {
	case selection.isMigrated:
		return continuedByMove
	case s.attempts.lastFailure != nil && errors.Is(s.attempts.lastFailure, errStalled):
		return continuedAfterSilence
	case s.beganAt != nil:
		return continuedAfterBreak
	case s.request.forwarded != nil:
		return continuedByRelay
	default:
		return continuedByClient
	}
}
