package relay

import (
	"time"

	"github.com/valyala/fasthttp"

	"github.com/hazelpitch/hazelpitch/internal/backpressure"
	"github.com/hazelpitch/hazelpitch/internal/events"
	"github.com/hazelpitch/hazelpitch/internal/mechanism"
	"github.com/hazelpitch/hazelpitch/internal/serving"
)

// leaving reports whether the back end leaves, by the list or by its own word: the list lags, and is not read
// while nobody leads and the platform is silent.
func (b *backEnd) leaving() bool { return b.Leaving || b.signals.IsLeaving() }

// resting reports whether the back end has asked to be sent nothing for now.
func (b *backEnd) resting(now time.Duration) bool { return b.signals.RemainingBackoff(now) > 0 }

// wait is how much longer nothing may be sent to the back end: it has asked for rest, or its limit leaves no room.
func (b *backEnd) wait(now time.Duration) time.Duration {
	return max(b.signals.RemainingBackoff(now), b.signals.PermitWait(now))
}

// limited reports whether the back end names a limit for all relays together.
func (b *backEnd) limited() bool {
	limit, _ := b.signals.Limit()
	return limit.IsSet
}

// closed reports whether new requests must not be sent to the back end now.
func (b *backEnd) closed(now time.Duration) bool {
	return b.Changing || b.leaving() || b.wait(now) > 0
}

// noRequest stands for the time of a request where a call of the relay's own was answered: that such an answer names no
// limit, or a larger one, says nothing.
const noRequest = time.Duration(-1)

// noteAnswer takes what a back end asks for in the head of an answer to a request that was sent at a time, or to a call
// of the relay's own (noRequest).
func (r *Relay) noteAnswer(backEnd *backEnd, head *fasthttp.ResponseHeader, sentAt time.Duration) {
	names := r.dialect.Headers
	r.noteAsked(backEnd, backpressure.ParseDirectives(head.StatusCode(), backpressure.Headers{
		RetryAfter: head.Peek(fasthttp.HeaderRetryAfter), Leaving: head.Peek(names.Leaving), Limit: head.PeekAll(names.Limit),
	}), sentAt)
}

// noteAsked takes what a back end has asked for in an answer to what was sent at a time.
func (r *Relay) noteAsked(backEnd *backEnd, asked backpressure.Directives, sentAt time.Duration) {
	now := r.clock.now()
	if asked.Backoff > 0 {
		if !backEnd.resting(now) {
			r.metrics.rests.Inc()
			r.event(events.BackEndInBackoff).Str("back_end", backEnd.ID).Int64("rest_ms", asked.Backoff.Milliseconds()).Send()
		}
		backEnd.signals.ExtendBackoff(now, asked.Backoff)
	}
	if asked.Leaving && backEnd.signals.MarkLeaving(now) {
		r.event(events.BackEndLeaving).Str("back_end", backEnd.ID).Bool("listed", backEnd.Leaving).Send()
		if !backEnd.Leaving && r.without.IsEnabled(mechanism.RunMigration) {
			go backEnd.moveRuns()
		}
	}
	if asked.StatesLimit() {
		r.noteLimit(backEnd, asked.Limit, sentAt)
	}
}

// comeBackSpread is the least time over which callers are spread that come back after a wait, so that the back end is
// not asked by all of them at once.
const comeBackSpread = 300 * time.Millisecond

// comeBack is when callers may come back for whom nothing can be sent to any back end of a service.
type comeBack struct {
	// after is when; 0 where something can be sent to one of them.
	after time.Duration
	// limited tells that it is a limit that leaves no room, rather than a rest.
	limited bool
}

// comeBack is when a caller may come back who would be answered by back ends of a stage. Coming back sooner would be in
// vain. Those who are told so at different times of one wait are spread over as long again.
func (r *Relay) comeBack(service string, stage serving.Stage) comeBack {
	now, shortest := r.clock.now(), comeBack{}
	for _, backEnd := range r.view.Load().byService[service] {
		if backEnd.leaving() || backEnd.Stage != stage {
			continue
		}
		wait := backEnd.wait(now)
		if wait == 0 {
			return comeBack{}
		}
		if shortest.after == 0 || wait < shortest.after {
			shortest = comeBack{after: wait, limited: backEnd.signals.RemainingBackoff(now) < wait}
		}
	}
	if shortest.after > 0 {
		spread := comeBackSpread
		if shortest.limited {
			spread = max(spread, shortest.after)
		}
		shortest.after += time.Duration(r.draw() * float64(spread))
	}
	return shortest
}
