package relay

import (
	"time"

	"github.com/valyala/fasthttp"

	"github.com/hazelpitch/hazelpitch/internal/backpressure"
	"github.com/hazelpitch/hazelpitch/internal/events"
	"github.com/hazelpitch/hazelpitch/internal/mechanism"
)

// leaving reports whether the back end leaves, by the list or by its own word: the list lags, and is not read
// while nobody leads and the platform is silent.
func (b *backEnd) leaving() bool { return b.Leaving || b.signals.Leaving() }

// resting reports whether the back end has asked to be sent nothing for now.
func (b *backEnd) resting(now time.Duration) bool { return b.signals.Rest(now) > 0 }

// closed reports whether new requests must not be sent to the back end now.
func (b *backEnd) closed(now time.Duration) bool {
	return b.Changing || b.leaving() || b.resting(now)
}

// noteAnswer takes what a back end asks for in the head of an answer of its own.
func (r *Relay) noteAnswer(backEnd *backEnd, head *fasthttp.ResponseHeader) {
	names := r.dialect.Headers
	r.noteAsked(backEnd, backpressure.AskedIn(head.StatusCode(), backpressure.Words{
		RetryAfter: head.Peek(fasthttp.HeaderRetryAfter), Leaving: head.Peek(names.Leaving), Limit: head.PeekAll(names.Limit),
	}))
}

// noteAsked takes what a back end has asked for.
func (r *Relay) noteAsked(backEnd *backEnd, asked backpressure.Asked) {
	now := r.clock.now()
	if asked.Rest > 0 {
		if !backEnd.resting(now) {
			r.metrics.rests.Inc()
			r.event(events.BackEndRests).Str("back_end", backEnd.ID).Int64("rest_ms", asked.Rest.Milliseconds()).Send()
		}
		backEnd.signals.AskRest(now, asked.Rest)
	}
	if asked.Leaving && backEnd.signals.SayLeaving(now) {
		r.event(events.BackEndLeaves).Str("back_end", backEnd.ID).Bool("listed", backEnd.Leaving).Send()
		if !backEnd.Leaving && r.without.On(mechanism.RunMoves) {
			go backEnd.moveRuns()
		}
	}
	if asked.LimitUnreadable || backEnd.signals.NameLimit(asked.Limit) {
		r.event(events.BackEndLimits).Str("back_end", backEnd.ID).Bool("named", asked.Limit.Named).
			Float64("per_second", asked.Limit.PerSecond).Bool("unreadable", asked.LimitUnreadable).Send()
	}
}

// restSpread is the time over which callers are spread that come back after a rest, so that the back end is
// not asked by all of them at once.
const restSpread = 300 * time.Millisecond

// restLeft is when a caller may come back for whom all back ends of the service rest; 0 when one of them does
// not. Coming back sooner would be in vain.
func (r *Relay) restLeft(service string) time.Duration {
	now, shortest := r.clock.now(), time.Duration(0)
	for _, backEnd := range r.view.Load().byService[service] {
		if backEnd.leaving() {
			continue
		}
		rest := backEnd.signals.Rest(now)
		if rest == 0 {
			return 0
		}
		if shortest == 0 || rest < shortest {
			shortest = rest
		}
	}
	if shortest == 0 {
		return 0
	}
	return shortest + time.Duration(r.draw()*float64(restSpread))
}
