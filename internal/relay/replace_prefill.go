package relay

import (
	"time"

	"github.com/hazelpitch/hazelpitch/internal/placement"
	"github.com/hazelpitch/hazelpitch/internal/serving"
)

// prefillReplacement returns the function that reserves the prefill of the prompt, whose prefill engine is silent for the given limit, by
// another one: by a further prefill engine if the route's attempts and the retry budget allow it, or by a decoding engine.
func (s *streamReply) prefillReplacement(current *backEnd, limit time.Duration) reserveReplacement {
	return func(func()) bool {
		if !s.attempts.replacementRequest().MayBeSentAgain() {
			return false
		}
		hasPrefill := s.attempts.mayRetryPrefill() && s.canPlace(current, limit, serving.StagePrefill, purposePrefill)
		if hasPrefill && s.attempts.reserveRetry() {
			return true
		}
		return s.canPlace(current, limit, answeringStage(s.request.service), purposeDecode)
	}
}

// mayRetryPrefill reports whether the route's attempts leave one for a second prefill and one for the run.
func (a *attemptTracker) mayRetryPrefill() bool { return a.sentCount+1 < a.request.route.MaxAttempts }

// canPlace reports whether an engine of the given stage may prefill the prompt now in place of the current engine, by what
// this relay knows.
func (s *streamReply) canPlace(current *backEnd, limit time.Duration, stage serving.Stage, purpose purpose) bool {
	usable, excluded := s.attempts.partitionByTakeover(current, stage, limit)
	if len(usable) == 0 {
		return false
	}
	return s.wouldPlace(newEngineQuery(purpose, s.attempts, s.placementRequest(nil)), append(excluded, current.hash))
}

// wouldPlace reports whether this relay would place the query with further engines excluded.
func (s *streamReply) wouldPlace(query *engineQuery, excluded []uint64) bool {
	query.excluded = append(query.excluded, excluded...)
	answer := s.relay.placementOwner.decide(query, s.relay.view.Load().byService[query.service], nil)
	return answer.decision.Action == placement.PrefillOnDecodeEngine || answer.decision.Action == placement.PrefillSeparately
}
