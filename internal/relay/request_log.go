package relay

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"

	"github.com/hazelpitch/hazelpitch/internal/events"
)

// sampled is how many ordinary requests stand behind one line.
const sampled = 16

// requestLog writes a line for each decision that changes what becomes of a request.
type requestLog struct{ logger zerolog.Logger }

// line begins a line on a request.
func (l requestLog) line(level zerolog.Level, event events.Event, request *request) *zerolog.Event {
	line := l.logger.WithLevel(level).Str(events.FieldEvent, string(event)).
		Str(events.FieldRequest, request.id).Str("route", request.route.Name)
	if request.tenant != nil {
		line = line.Str(events.FieldTenant, request.tenant.Name)
	}
	return line
}

// keyRefused notes a request that was not admitted.
func (l requestLog) keyRefused(request *request, fault keyFault, status int) {
	l.line(zerolog.WarnLevel, events.KeyRefused, request).Int("status", status).Str("reason", string(fault)).Send()
}

// trial notes that a held request is sent to a back end once more.
func (l requestLog) trial(request *request) {
	l.line(zerolog.WarnLevel, events.QuarantineTrialStarted, request).Stringer("content", request.signature).Send()
}

// attemptFailed notes a sending to a back end that brought no answer.
func (l requestLog) attemptFailed(request *request, backEnd *backEnd, fault *failure) {
	l.line(zerolog.WarnLevel, events.AttemptFailed, request).Stringer("content", request.signature).Str("back_end", backEnd.ID).
		Str("verdict", fault.verdict.String()).Bool("arrived", fault.arrived).
		AnErr("cause", fault.cause).Func(fault.notePauses).Send()
}

// refused notes a final answer of the relay's own.
func (l requestLog) refused(request *request, refused refusal, tried *attempts) {
	l.line(zerolog.WarnLevel, events.RequestRefused, request).Stringer("content", request.signature).Int("status", refused.status).Str("reason", refused.reason).
		Int64("retry_after_ms", refused.retryAfter.Milliseconds()).Int("sent", tried.sent).Bool("may_have_run", tried.mayHaveRun).Send()
}

// refusedForLack notes a request that came before the relay knew what it needs. Its route may not be known.
func (l requestLog) refusedForLack(request *request, lacking lack, belief belief) {
	l.logger.WithLevel(zerolog.WarnLevel).Str(events.FieldEvent, string(events.RequestRefused)).Str(events.FieldRequest, request.id).
		Str("reason", string(lacking)).Uint64("configuration", belief.configuration).Int64("leader_age_ms", belief.leaderAge.Milliseconds()).Send()
}

// moved notes that a run was moved from an engine that takes no more work, or stopped there
// without a copy.
func (l requestLog) moved(request *request, from, to *backEnd, copied bool) {
	l.line(zerolog.InfoLevel, events.RunMigrated, request).Str("back_end", from.ID).Str("to", to.ID).Bool("copied", copied).Send()
}

// ended notes how a request ended. Of ordinary requests one in sampled has a line, chosen
// by its identity, so that every process keeps the same ones.
func (l requestLog) ended(request *request, reply *replier, belief belief) {
	trace := request.trace
	late := trace.late(request, belief.now)
	ordinary := reply.status < 400 && reply.status > 0 && !reply.failed && !late
	level := zerolog.WarnLevel
	if ordinary {
		if xxhash.Sum64String(request.id)%sampled != 0 {
			return
		}
		level = zerolog.InfoLevel
	}
	since := func(at time.Duration) int64 { return max((at - request.arrivedAt).Milliseconds(), 0) }
	l.line(level, events.RequestEnded, request).Stringer("content", request.signature).
		Int("status", reply.status).Bool("cut", reply.failed).Bool("late", late).
		Str("placed", trace.placed).Str("owner", trace.owner).Str("prefill", trace.prefillEngine).Str("back_end", trace.engine).
		Int("prompt", request.prompt.PromptTokens).Int("to_read", trace.toRead).Int("ahead", trace.ahead).Int("ahead_all", trace.aheadAll).
		Int64("prefill_sent_ms", since(trace.prefillAt)).Int64("sent_ms", since(trace.sentAt)).Int64("gap_ms", trace.longestGap.Milliseconds()).
		Int64("first_ms", since(trace.firstAt)).Int64("ended_ms", since(belief.now)).
		Uint64("configuration", belief.configuration).Int64("leader_age_ms", belief.leaderAge.Milliseconds()).Send()
}

// belief is what the relay went by when a request ended, and how old it was.
type belief struct {
	now           time.Duration
	configuration uint64
	leaderAge     time.Duration
}

// belief returns what the relay goes by now.
func (r *Relay) belief() belief {
	now := r.clock.now()
	current := belief{now: now, leaderAge: now - r.lastContact()}
	if table := r.view.Load().table; table != nil {
		current.configuration = table.Configuration.Number
	}
	return current
}
