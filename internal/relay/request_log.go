package relay

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"

	"github.com/hazelpitch/hazelpitch/internal/events"
)

// sampleInterval is the number of ordinary requests per log line.
const sampleInterval = 16

// requestLog writes a log line for each decision that affects a request.
type requestLog struct{ logger zerolog.Logger }

// line begins a log line about a request.
func (l requestLog) line(level zerolog.Level, event events.Event, request *request) *zerolog.Event {
	line := l.logger.WithLevel(level).Str(events.FieldEvent, string(event)).
		Str(events.FieldRequest, request.id).Str("route", request.route.Name)
	if request.tenant != nil {
		line = line.Str(events.FieldTenant, request.tenant.Name)
	}
	return line
}

// recordKeyRefusal logs a request that was not admitted.
func (l requestLog) recordKeyRefusal(request *request, fault keyFault, status int) {
	l.line(zerolog.WarnLevel, events.KeyRefused, request).Int("status", status).Str("reason", string(fault)).Send()
}

// recordTrial logs that a quarantined request is sent to a back end once more.
func (l requestLog) recordTrial(request *request) {
	l.line(zerolog.WarnLevel, events.QuarantineTrialStarted, request).Stringer("content", request.content.Request).Send()
}

// recordFailedAttempt logs an attempt that brought no answer.
func (l requestLog) recordFailedAttempt(request *request, backEnd *backEnd, fault *failure) {
	l.line(zerolog.WarnLevel, events.AttemptFailed, request).Stringer("content", request.content.Request).Strs("parts", request.partIDs).Str("back_end", backEnd.ID).
		Str("verdict", fault.verdict.String()).Bool("arrived", fault.mayHaveArrived).
		AnErr("cause", fault.cause).Func(fault.addRule).Func(fault.observation.addFields).Func(fault.addBackoffFields).Send()
}

// recordRefusal logs a final answer that the relay itself makes.
func (l requestLog) recordRefusal(request *request, response refusal, attempts *attemptTracker) {
	l.line(zerolog.WarnLevel, events.RequestRefused, request).Stringer("content", request.content.Request).Int("status", response.status).Str("reason", response.reason).
		Int64("retry_after_ms", response.retryAfter.Milliseconds()).Int("sent", attempts.sentCount).Bool("may_have_run", attempts.mayHaveRun).Send()
}

// recordUnserved logs a request that was refused before its route was looked up: the relay stops, or it has not received the
// state to serve requests yet.
func (l requestLog) recordUnserved(request *request, reason string, snapshot viewSnapshot) {
	l.logger.WithLevel(zerolog.WarnLevel).Str(events.FieldEvent, string(events.RequestRefused)).Str(events.FieldRequest, request.id).
		Str("reason", reason).Uint64("configuration", snapshot.configuration).Int64("leader_age_ms", snapshot.leaderAge.Milliseconds()).Send()
}

// recordMigration logs the migration of a run from an engine that accepts no more work. copied is false if the run was
// paused but the remainder of its KV cache could not be copied.
func (l requestLog) recordMigration(request *request, from, to *backEnd, copied bool) {
	l.line(zerolog.InfoLevel, events.RunMigrated, request).Str("back_end", from.ID).Str("to", to.ID).Bool("copied", copied).Send()
}

// recordEnd logs the outcome of a request. Only one in sampleInterval of the ordinary requests is logged, chosen by its
// identity, so that every process logs the same ones.
func (l requestLog) recordEnd(request *request, reply *replier, snapshot viewSnapshot) {
	trace := request.trace
	isLate := trace.isLate(request, snapshot.now)
	isOrdinary := reply.status < 400 && reply.status > 0 && !reply.aborted && !isLate
	level := zerolog.WarnLevel
	if isOrdinary {
		if xxhash.Sum64String(request.id)%sampleInterval != 0 {
			return
		}
		level = zerolog.InfoLevel
	}
	since := func(at time.Duration) int64 { return max((at - request.arrivedAt).Milliseconds(), 0) }
	l.line(level, events.RequestEnded, request).Stringer("content", request.content.Request).
		Int("status", reply.status).Bool("cut", reply.aborted).Bool("client_gone", request.canceller.hasClientLeft()).Bool("stopping", snapshot.isStopping).Bool("late", isLate).
		Str("placed", trace.placementReason).Str("owner", trace.owner).Str("prefill", trace.prefillEngine).Str("back_end", trace.engine).
		Int("prompt", request.prompt.PromptTokens).Int("to_read", trace.tokensToPrefill).Int("ahead", trace.tokensAhead).Int("ahead_all", trace.tokensAheadAll).
		Int64("prefill_sent_ms", since(trace.prefillAt)).Int64("sent_ms", since(trace.sentAt)).Int64("gap_ms", trace.longestGap.Milliseconds()).
		Int64("first_ms", since(trace.firstAt)).Int64("ended_ms", since(snapshot.now)).
		Func(trace.addForecast).Func(trace.addEndOfAnswer).Str("forwarded_to", trace.forwardedTo).Bool("forwarded", request.forwarded != nil).
		Uint64("configuration", snapshot.configuration).Int64("configuration_age_ms", snapshot.configurationAge.Milliseconds()).
		Int64("leader_age_ms", snapshot.leaderAge.Milliseconds()).Send()
}

// recordUnread logs a request that could not be read completely. status is that of the answer, 0 for none.
func (l requestLog) recordUnread(cause error, status int, snapshot viewSnapshot) {
	l.logger.WithLevel(zerolog.WarnLevel).Str(events.FieldEvent, string(events.RequestUnread)).AnErr("cause", cause).Int("status", status).Bool("stopping", snapshot.isStopping).
		Uint64("configuration", snapshot.configuration).Int64("configuration_age_ms", snapshot.configurationAge.Milliseconds()).Send()
}

// viewSnapshot describes the view that a request was served by, and its age.
type viewSnapshot struct {
	now           time.Duration
	configuration uint64
	leaderAge     time.Duration
	// configurationAge is the time since the configuration was applied.
	configurationAge time.Duration
	isStopping       bool
}

// viewSnapshot returns the current snapshot.
func (r *Relay) viewSnapshot() viewSnapshot {
	now := r.clock.now()
	snapshot := viewSnapshot{now: now, leaderAge: now - r.lastContact()}
	snapshot.isStopping = r.stopping.Load()
	if view := r.view.Load(); view.table != nil {
		snapshot.configuration, snapshot.configurationAge = view.table.Configuration.Number, now-view.configuredAt
	}
	return snapshot
}
