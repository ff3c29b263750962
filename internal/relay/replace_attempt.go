package relay

import (
	"slices"
	"time"

	"github.com/rs/zerolog"

	"github.com/hazelpitch/hazelpitch/internal/events"
	"github.com/hazelpitch/hazelpitch/internal/relay/replacement"
	"github.com/hazelpitch/hazelpitch/internal/serving"
)

// replacement returns the function that replaces an attempt at a back end, whose silence has the given limit; nil if the route
// allows no further attempt. current is the attempt, nil for one that is no replacement itself. A replacement that is silent in
// its turn, before it answers the request, is ended if the route allows another one.
func (a *attemptTracker) replacement(silent *backEnd, limit time.Duration, request replaceable, current *replacementAttempt) reserveReplacement {
	if current == nil && !a.hasFurtherAttempt() {
		return nil
	}
	return func(recheck func()) bool {
		if a.contest.hasReplacement() {
			return a.contest.isReplaced(current) || current != nil && !current.isLast && a.contest.isPending(current)
		}
		a.startReplacement(&replacementAttempt{
			attempts: a, request: request, silent: silent, limit: limit, endSilent: recheck, done: make(chan struct{}),
		})
		return false
	}
}

// startReplacement starts a replacement, if the request may be sent again and there is a back end that can take it over.
func (a *attemptTracker) startReplacement(attempt *replacementAttempt) {
	now := a.relay.clock.now()
	if !a.hasFurtherAttempt() || !a.replacementRequest().MayBeSentAgain() || !a.relay.budget.CanSpend(now, a.request.service.Name) {
		return
	}
	usable, excluded := a.partitionByTakeover(attempt.silent, answeringStage(a.request.service), attempt.limit)
	if len(usable) == 0 {
		return
	}
	find := attempt.request.prepareSearch(usable, excluded)
	if find == nil {
		return
	}
	attempt.startedAt, attempt.canceller, attempt.isLast = now, a.request.canceller.newChild(), !a.allowsAttempts(3)
	if !a.contest.start(attempt) {
		return
	}
	go attempt.run(find)
}

// takeReplacement returns the replacement that becomes the current attempt after the former one has brought no answer; nil if there is
// none.
func (a *attemptTracker) takeReplacement() *replacementAttempt { return a.contest.take() }

// cancelReplacement ends the replacement, if any: the request needs it no more.
func (a *attemptTracker) cancelReplacement() {
	attempt := a.contest.take()
	if attempt == nil {
		return
	}
	attempt.cancel()
	if attempt.isSent.Load() {
		a.countReplacement(attempt)
	}
}

// countReplacements counts the replacements that were sent while the current attempt went on.
func (a *attemptTracker) countReplacements() {
	for _, attempt := range a.contest.takeSentReplacements() {
		a.countReplacement(attempt)
	}
}

// countReplacement counts a replacement that has ended, and keeps the error answer that it has brought.
func (a *attemptTracker) countReplacement(attempt *replacementAttempt) {
	fault, fallback := attempt.outcome()
	a.countAttempt(attempt.selection.backEnd, fault)
	a.keepFallback(fallback)
}

// keepFallback keeps an error answer, if there is one.
func (a *attemptTracker) keepFallback(fallback *fallbackAnswer) {
	if fallback != nil {
		a.setFallbackAnswer(fallback.answer, fallback.body)
	}
}

// keepCurrent reports whether the request still waits for the current attempt, which has brought bytes for the client, and cancels its
// replacement if so.
func (a *attemptTracker) keepCurrent() bool { return a.contest.keep(nil) }

// recordGivenUp logs that the exchange with a silent back end is ended in favor of another one.
func (a *attemptTracker) recordGivenUp(silent, next *backEnd) {
	now := a.relay.clock.now()
	a.relay.log.line(zerolog.InfoLevel, events.AnswerGivenUp, a.request).Str("back_end", silent.ID).Str("to", next.ID).
		Int64("silent_ms", silent.currentLoad(now).silentFor(now).Milliseconds()).
		Int("running", a.relay.runningAt(next, now)).Int("slots", next.Slots).Send()
}

// replacementRequest returns the state of the request whose back end is silent.
func (a *attemptTracker) replacementRequest() replacement.Request {
	return replacement.Request{
		IsCancelled:   a.request.canceller.isCancelled(),
		IsQuarantined: a.isQuarantined || a.relay.guard.IsQuarantined(a.request.content),
		TimeLeft:      a.request.deadline - a.relay.clock.now(), UsualTime: a.request.route.Target,
	}
}

// partitionByTakeover returns the service's back ends of the given stage that can take over the request from the silent one, and the
// hashes of those that cannot.
func (a *attemptTracker) partitionByTakeover(silent *backEnd, stage serving.Stage, limit time.Duration) (usable []*backEnd, excluded []uint64) {
	now := a.relay.clock.now()
	for _, backEnd := range a.relay.view.Load().byService[a.request.service.Name] {
		if backEnd.Stage != stage {
			continue
		}
		state := a.relay.replacementState(backEnd, now)
		state.IsTried = backEnd.hash == silent.hash || a.hasTried(backEnd) || !mayGoOnAt(a.binding(), backEnd)
		if state.CanTakeOver(limit) {
			usable = append(usable, backEnd)
		} else {
			excluded = append(excluded, backEnd.hash)
		}
	}
	return usable, excluded
}

// hasTried reports whether the request was sent to a back end, or to another record of it: a new list may hold one.
func (a *attemptTracker) hasTried(backEnd *backEnd) bool {
	return slices.ContainsFunc(a.excluded, backEnd.isSameAs) ||
		slices.ContainsFunc(a.contest.sentReplacements(), func(attempt *replacementAttempt) bool { return backEnd.isSameAs(attempt.selection.backEnd) })
}

// isSameAs reports whether two records are of the same back end.
func (b *backEnd) isSameAs(other *backEnd) bool { return b.hash == other.hash }

// replacementState returns the state of a back end that might take over a request which was not sent to it.
func (r *Relay) replacementState(backEnd *backEnd, now time.Duration) replacement.BackEnd {
	load := backEnd.currentLoad(now)
	return replacement.BackEnd{
		IsClosed: backEnd.isClosed(), IsLimited: backEnd.hasLimit(),
		SendDelay: backEnd.sendDelay(now), AvoidedFor: load.avoidUntil - now, SilentFor: load.silentFor(now),
		Running: r.runningAt(backEnd, now), Slots: backEnd.Slots,
	}
}

// runningAt returns the number of requests that this relay knows to run at a back end.
func (r *Relay) runningAt(backEnd *backEnd, now time.Duration) int {
	load := backEnd.currentLoad(now)
	if backEnd.isEngine() {
		return r.notices.table.totalWork(now, backEnd, load).Streams
	}
	return max(load.ownWork.Streams, load.reportedRequests)
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

// end gives back what was reserved or started for an attempt that the request does not need.
func (a *attemptTracker) end() {
	a.cancelReplacement()
	a.returnReservedRetry()
	a.releaseFallback()
}
