package relay

import (
	"time"

	"github.com/rs/zerolog"
)

// requestLog writes a line for each decision that changes what becomes of a request.
type requestLog struct{ logger zerolog.Logger }

// attemptFailed notes a sending that brought no answer.
func (l requestLog) attemptFailed(request *request, backEnd *backEnd, fault *failure) {
	l.logger.Info().Str("request", request.id).Str("route", request.route.Name).Str("back_end", backEnd.ID).
		Str("verdict", fault.verdict.String()).Bool("arrived", fault.arrived).AnErr("cause", fault.cause).Msg("attempt failed")
}

// requestTrace is what became of a request, for the line at its end.
type requestTrace struct {
	// prefillEngine and engine are the back ends that took the request last.
	prefillEngine, engine string
	prefillAt, sentAt     time.Duration
	// toRead and ahead are the tokens that the prefill engine had to read for this request
	// and for others when it was picked, as far as was known.
	toRead, ahead, aheadAll int
	// firstAt is when the first event of a stream was passed on.
	firstAt time.Duration
	// lastAt is when the last events were passed on, longestGap the longest pause before any.
	lastAt, longestGap time.Duration
}

// prefill notes which engine was asked to read the prompt, and what it had to do.
func (t *requestTrace) prefill(engine *backEnd, now time.Duration, toRead, ahead, aheadAll int) {
	t.prefillEngine, t.prefillAt = engine.ID, now
	t.toRead, t.ahead, t.aheadAll = toRead, ahead, aheadAll
}

// passed notes that events were passed on.
func (t *requestTrace) passed(now time.Duration) {
	if t.firstAt == 0 {
		t.firstAt = now
	} else {
		t.longestGap = max(t.longestGap, now-t.lastAt)
	}
	t.lastAt = now
}

// ended notes how a request ended; times are milliseconds since its arrival.
func (l requestLog) ended(request *request, reply *replier, clock clock) {
	trace := request.trace
	since := func(at time.Duration) int64 { return max((at - request.arrivedAt).Milliseconds(), 0) }
	l.logger.Info().Str("event", "request_ended").Str("request", request.id).Str("route", request.route.Name).
		Int("status", reply.status).Bool("cut", reply.failed).Str("prefill", trace.prefillEngine).Str("back_end", trace.engine).
		Int("prompt", request.prompt.PromptTokens).Int("to_read", trace.toRead).Int("ahead", trace.ahead).Int("ahead_all", trace.aheadAll).Int64("prefill_sent_ms", since(trace.prefillAt)).Int64("sent_ms", since(trace.sentAt)).
		Int64("gap_ms", trace.longestGap.Milliseconds()).Int64("first_ms", since(trace.firstAt)).Int64("ended_ms", since(clock.now())).Send()
}

// refused notes a final answer of the relay's own.
func (l requestLog) refused(request *request, refused refusal, tried *attempts) {
	l.logger.Info().Str("request", request.id).Str("route", request.route.Name).Int("status", refused.status).
		Str("reason", refused.reason).Int("sent", tried.sent).Bool("may_have_run", tried.mayHaveRun).Msg("request refused")
}
