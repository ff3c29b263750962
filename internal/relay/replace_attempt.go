package relay

import (
	"slices"
	"time"

	"github.com/rs/zerolog"

	"github.com/hazelpitch/hazelpitch/internal/events"
	"github.com/hazelpitch/hazelpitch/internal/placement"
	"github.com/hazelpitch/hazelpitch/internal/relay/replacement"
	"github.com/hazelpitch/hazelpitch/internal/serving"
)

// replacement returns the function that reserves the replacement of the attempt at the current back end, whose silence has the given
// limit; nil if the route allows no further attempt. search prepares the search for the back end of the next attempt.
func (a *attemptTracker) replacement(current *backEnd, limit time.Duration, search prepareSearch) reserveReplacement {
	if !a.hasFurtherAttempt() {
		return nil
	}
	return func(recheck func()) bool {
		if !a.replacementRequest().MayBeSentAgain() {
			return false
		}
		if a.search == nil {
			if find := a.prepare(current, limit, search); find != nil {
				a.search = a.relay.startReplacementSearch(find, recheck)
			}
			return false
		}
		selection, isDone := a.relay.searchResult(a.search)
		if !isDone {
			return false
		}
		a.search = nil
		if selection == nil {
			return false // the next check searches again
		}
		if !mayGoOnAt(a.binding(), selection.backEnd) { // the first event came during the search
			a.relay.abandonSelection(selection)
			return false
		}
		if !a.reserveRetry() {
			a.relay.abandonSelection(selection)
			return false
		}
		a.reservedSelection, a.reservedSlot = selection, selection.backEnd
		a.recordGivenUp(current, selection.backEnd)
		return true
	}
}

// recordGivenUp logs that the exchange with a silent back end is ended in favor of another one.
func (a *attemptTracker) recordGivenUp(silent, next *backEnd) {
	now := a.relay.clock.now()
	a.relay.log.line(zerolog.InfoLevel, events.AnswerGivenUp, a.request).Str("back_end", silent.ID).Str("to", next.ID).
		Int64("silent_ms", silent.currentLoad(now).silentFor(now).Milliseconds()).
		Int("running", a.relay.runningAt(next, now)).Int("slots", next.Slots).Send()
}

// prepare prepares the search for a back end that takes over the request from the current one; it returns nil if there is none.
func (a *attemptTracker) prepare(current *backEnd, limit time.Duration, search prepareSearch) findBackEnd {
	usable, excluded := a.partitionByTakeover(current, answeringStage(a.request.service), limit)
	if len(usable) == 0 {
		return nil
	}
	return search(usable, excluded)
}

// replacementRequest returns the state of the request whose back end is silent.
func (a *attemptTracker) replacementRequest() replacement.Request {
	return replacement.Request{
		IsCancelled:   a.request.canceller.isCancelled(),
		IsQuarantined: a.isQuarantined || a.relay.guard.IsQuarantined(a.request.signature),
		TimeLeft:      a.request.deadline - a.relay.clock.now(), UsualTime: a.request.route.Target,
	}
}

// partitionByTakeover returns the service's back ends of the given stage that can take over the request from the current one, and the
// hashes of those that cannot.
func (a *attemptTracker) partitionByTakeover(current *backEnd, stage serving.Stage, limit time.Duration) (usable []*backEnd, excluded []uint64) {
	now := a.relay.clock.now()
	for _, backEnd := range a.relay.view.Load().byService[a.request.service.Name] {
		if backEnd.Stage != stage {
			continue
		}
		if a.replacementState(backEnd, current, now).CanTakeOver(limit) {
			usable = append(usable, backEnd)
		} else {
			excluded = append(excluded, backEnd.hash)
		}
	}
	return usable, excluded
}

// replacementState returns the state of a back end that might take over the request from the current one. Records are
// compared by their hashes: a new list may hold another record of a back end that was tried.
func (a *attemptTracker) replacementState(other, current *backEnd, now time.Duration) replacement.BackEnd {
	load := other.currentLoad(now)
	return replacement.BackEnd{
		IsTried: other.hash == current.hash || !mayGoOnAt(a.binding(), other) ||
			slices.ContainsFunc(a.excluded, func(tried *backEnd) bool { return tried.hash == other.hash }),
		IsClosed: other.isClosed(), IsLimited: other.hasLimit(),
		SendDelay: other.sendDelay(now), AvoidedFor: load.avoidUntil - now, SilentFor: load.silentFor(now),
		Running: a.relay.runningAt(other, now), Slots: other.Slots,
	}
}

// replacement returns the function that reserves another engine at which the stream continues; nil if the route allows no further attempt.
func (s *streamReply) replacement(current *backEnd, limit time.Duration) reserveReplacement {
	if s.request.service.Engine == nil {
		return s.attempts.replacement(current, limit, s.attempts.searchFreeSlot)
	}
	return s.attempts.replacement(current, limit, s.searchEngine)
}

// searchEngine prepares the search for a decoding engine that prefills the prompt again and continues the stream. It returns
// nil if there is none by what this relay knows.
func (s *streamReply) searchEngine(_ []*backEnd, excluded []uint64) findBackEnd {
	criteria := s.placementRequest(nil)
	criteria.MayHaveRun = true
	query := newEngineQuery(purposeDecode, s.attempts, criteria)
	if !s.wouldPlace(query, excluded) {
		return nil
	}
	return func() *backEndSelection {
		selection := s.relay.decide(s.request, query, nil).selection
		if selection != nil {
			selection.backEnd.addWork(placement.Work{Streams: 1})
		}
		return selection
	}
}

// reserveRetry takes one retry from the budget for the next attempt, and reports whether it holds one.
func (a *attemptTracker) reserveRetry() bool {
	if a.reservedRetry == nil {
		a.reservedRetry = a.relay.budget.Reserve(a.relay.clock.now(), a.request.service.Name)
	}
	return a.reservedRetry != nil
}

// takeRetry reports whether the retry budget allows another attempt. It uses the reserved retry if there is one.
func (a *attemptTracker) takeRetry() bool {
	if a.reservedRetry == nil {
		return a.relay.trySpendRetry(a.request)
	}
	a.reservedRetry = nil
	a.relay.metrics.retries.Inc()
	return true
}

// returnReservedRetry returns a reserved retry that no attempt has used to the budget.
func (a *attemptTracker) returnReservedRetry() {
	if a.reservedRetry != nil {
		a.reservedRetry.Return(a.relay.clock.now())
		a.reservedRetry = nil
	}
}
