package relay

import (
	"time"

	"github.com/valyala/fasthttp"

	"github.com/hazelpitch/hazelpitch/internal/backpressure"
	"github.com/hazelpitch/hazelpitch/internal/events"
	"github.com/hazelpitch/hazelpitch/internal/mechanism"
	"github.com/hazelpitch/hazelpitch/internal/serving"
)

// isLeaving reports whether the back end is leaving, according to the list or to the back end itself. The list lags behind,
// and is not updated while there is no leader and the platform does not answer.
func (b *backEnd) isLeaving() bool { return b.Leaving || b.signals.IsLeaving() }

// inBackoff reports whether the back end has asked for a backoff that has not ended yet.
func (b *backEnd) inBackoff(now time.Duration) bool { return b.signals.RemainingBackoff(now) > 0 }

// sendDelay returns how much longer nothing may be sent to the back end, because of its backoff or its limit.
func (b *backEnd) sendDelay(now time.Duration) time.Duration {
	return max(b.signals.RemainingBackoff(now), b.signals.PermitWait(now))
}

// hasLimit reports whether the back end declares a limit on the requests per second from all relays together.
func (b *backEnd) hasLimit() bool {
	limit, _ := b.signals.Limit()
	return limit.IsSet
}

// isClosed reports whether the back end accepts no more work, or none at its present stage.
func (b *backEnd) isClosed() bool { return b.isLeaving() || b.Changing }

// isUnavailable reports whether the back end must not be sent new requests now.
func (b *backEnd) isUnavailable(now time.Duration) bool {
	return b.isClosed() || b.sendDelay(now) > 0
}

// internalCallSentAt is used as the send time of the relay's internal calls. A limit in the answer to such a call may lower
// the known limit; the absence of a limit, or a larger limit, is ignored.
const internalCallSentAt = time.Duration(-1)

// applyAnswerSignals applies the signals in the head of a back end's answer to a request sent at sentAt, or to an internal
// call (internalCallSentAt).
func (r *Relay) applyAnswerSignals(backEnd *backEnd, head *fasthttp.ResponseHeader, sentAt time.Duration) {
	names := r.dialect.Headers
	r.applySignals(backEnd, backpressure.ParseDirectives(head.StatusCode(), backpressure.Headers{
		RetryAfter: head.Peek(fasthttp.HeaderRetryAfter), Leaving: head.Peek(names.Leaving), Limit: head.PeekAll(names.Limit),
	}), sentAt)
}

// applySignals applies what a back end asked for in an answer: a backoff, no new requests because it leaves, or a limit.
func (r *Relay) applySignals(backEnd *backEnd, signals backpressure.Directives, sentAt time.Duration) {
	now := r.clock.now()
	if signals.Backoff > 0 {
		if !backEnd.inBackoff(now) {
			r.metrics.backoffs.Inc()
			r.event(events.BackEndInBackoff).Str("back_end", backEnd.ID).Int64("rest_ms", signals.Backoff.Milliseconds()).Send()
		}
		backEnd.signals.ExtendBackoff(now, signals.Backoff)
	}
	if signals.Leaving && backEnd.signals.MarkLeaving(now) {
		r.event(events.BackEndLeaving).Str("back_end", backEnd.ID).Bool("listed", backEnd.Leaving).Send()
		if !backEnd.Leaving && r.mechanisms.IsEnabled(mechanism.RunMigration) {
			go backEnd.migrateRuns()
		}
	}
	if signals.StatesLimit() {
		r.recordLimit(backEnd, signals.Limit, sentAt)
	}
}

// minRetrySpread is the minimum time over which the retries of refused clients are spread, so that they do not all reach
// the back end at once.
const minRetrySpread = 300 * time.Millisecond

// retryAdvice says when refused clients may retry.
type retryAdvice struct {
	// retryAfter is the delay before a retry; 0 when some back end can be sent requests now.
	retryAfter time.Duration
	// isLimited is true if the delay comes from a limit rather than from a backoff.
	isLimited bool
}

// retryAdvice returns when a client may retry a request that back ends of the given stage would answer: the shortest delay
// among these back ends, plus a random spread. It returns the zero value when one of them can be sent requests now. For a
// limit, the spread is at least as long as the delay, since clients are refused at different moments of one wait.
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
			shortest = retryAdvice{retryAfter: wait, isLimited: backEnd.signals.RemainingBackoff(now) < wait}
		}
	}
	if shortest.retryAfter > 0 {
		spread := minRetrySpread
		if shortest.isLimited {
			spread = max(spread, shortest.retryAfter)
		}
		shortest.retryAfter += time.Duration(r.draw() * float64(spread))
	}
	return shortest
}
