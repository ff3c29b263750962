package relay

import (
	"time"

	"github.com/valyala/fasthttp"

	"github.com/hazelpitch/hazelpitch/internal/backpressure"
	"github.com/hazelpitch/hazelpitch/internal/events"
	"github.com/hazelpitch/hazelpitch/internal/mechanism"
	"github.com/hazelpitch/hazelpitch/internal/serving"
)

// isLeaving reports whether the back end leaves, by the list or by its own word: the list lags, and is not read
// while nobody leads and the platform is silent.
func (b *backEnd) isLeaving() bool { return b.Leaving || b.signals.IsLeaving() }

// inBackoff reports whether the back end has asked to be sent nothing for now.
func (b *backEnd) inBackoff(now time.Duration) bool { return b.signals.RemainingBackoff(now) > 0 }

// sendDelay is how much longer nothing may be sent to the back end: it has asked for rest, or its limit leaves no room.
func (b *backEnd) sendDelay(now time.Duration) time.Duration {
	return max(b.signals.RemainingBackoff(now), b.signals.PermitWait(now))
}

// hasLimit reports whether the back end names a limit for all relays together.
func (b *backEnd) hasLimit() bool {
	limit, _ := b.signals.Limit()
	return limit.IsSet
}

// isUnavailable reports whether new requests must not be sent to the back end now.
func (b *backEnd) isUnavailable(now time.Duration) bool {
	return b.Changing || b.isLeaving() || b.sendDelay(now) > 0
}

// internalCallSentAt stands for the time of a request where a call of the relay's own was answered: that such an answer names no
// limit, or a larger one, says nothing.
const internalCallSentAt = time.Duration(-1)

// applyAnswerSignals takes what a back end asks for in the head of an answer to a request that was sent at a time, or to a call
// of the relay's own (noRequest).
func (r *Relay) applyAnswerSignals(backEnd *backEnd, head *fasthttp.ResponseHeader, sentAt time.Duration) {
	names := r.dialect.Headers
	r.applySignals(backEnd, backpressure.ParseDirectives(head.StatusCode(), backpressure.Headers{
		RetryAfter: head.Peek(fasthttp.HeaderRetryAfter), Leaving: head.Peek(names.Leaving), Limit: head.PeekAll(names.Limit),
	}), sentAt)
}

// applySignals takes what a back end has asked for in an answer to what was sent at a time.
func (r *Relay) applySignals(backEnd *backEnd, signals backpressure.Directives, sentAt time.Duration) {
	now := r.clock.now()
	if signals.Backoff > 0 {
		if !backEnd.inBackoff(now) {
			r.metrics.backoffs.Inc()
			r.event(events.BackEndRests).Str("back_end", backEnd.ID).Int64("rest_ms", signals.Backoff.Milliseconds()).Send()
		}
		backEnd.signals.ExtendBackoff(now, signals.Backoff)
	}
	if signals.Leaving && backEnd.signals.MarkLeaving(now) {
		r.event(events.BackEndLeaves).Str("back_end", backEnd.ID).Bool("listed", backEnd.Leaving).Send()
		if !backEnd.Leaving && r.without.IsEnabled(mechanism.RunMigration) {
			go backEnd.migrateRuns()
		}
	}
	if signals.StatesLimit() {
		r.recordLimit(backEnd, signals.Limit, sentAt)
	}
}

// minRetrySpread is the least time over which callers are spread that come back after a wait, so that the back end is
// not asked by all of them at once.
const minRetrySpread = 300 * time.Millisecond

// retryAdvice is when callers may come back for whom nothing can be sent to any back end of a service.
type retryAdvice struct {
	// retryAfter is when; 0 where something can be sent to one of them.
	retryAfter time.Duration
	// limited tells that it is a limit that leaves no room, rather than a rest.
	limited bool
}

// retryAdvice is when a caller may come back who would be answered by back ends of a stage. Coming back sooner would be in
// vain. Those who are told so at different times of one wait are spread over as long again.
func (r *Relay) retryAdvice(service string, stage serving.Stage) retryAdvice {
	now, shortest := r.clock.now(), retryAdvice{}
	for _, backEnd := range r.view.Load().byService[service] {
		if backEnd.isLeaving() || backEnd.Stage != stage {
			continue
		}
		wait := backEnd.sendDelay(now)
		if wait == 0 {
			return retryAdvice{}
		}
		if shortest.retryAfter == 0 || wait < shortest.retryAfter {
			shortest = retryAdvice{retryAfter: wait, limited: backEnd.signals.RemainingBackoff(now) < wait}
		}
	}
	if shortest.retryAfter > 0 {
		spread := minRetrySpread
		if shortest.limited {
			spread = max(spread, shortest.retryAfter)
		}
		shortest.retryAfter += time.Duration(r.draw() * float64(spread))
	}
	return shortest
}
