package relay

import (
	"time"

	"github.com/rs/zerolog"

	"github.com/hazelpitch/hazelpitch/internal/http1/framing"
	"github.com/hazelpitch/hazelpitch/internal/placement"
	"github.com/hazelpitch/hazelpitch/internal/serving"
)

// requestTrace collects the course of a request for the log line at its end.
type requestTrace struct {
	// prefillEngine and engine are the back ends to which the request was sent last.
	prefillEngine, engine string
	prefillAt, sentAt     time.Duration
	// tokensToPrefill is how many tokens of this request the prefill engine had to process, as known when it was selected.
	// tokensAhead counts the queued tokens of other requests that the engine processes before or together with this one by
	// their ranks, tokensAheadAll those of all ranks.
	tokensToPrefill, tokensAhead, tokensAheadAll int
	// placementReason is the reason for the decision on where to prefill the prompt.
	placementReason string
	// pause is the forecast for the gap targets at the last decode engine, as of its selection.
	pause placement.PauseForecast
	// owner is the relay that selected the last engine; empty for this relay.
	owner string
	// forwardedTo is the address of the relay to which the request was forwarded last; empty for none.
	forwardedTo string
	// answerFraming and answerEnd say how the end of the last answer was determined, and how it ended. endsInEvent is true if
	// a stream ended within an event. They are valid if hasAnswer is true.
	answerFraming          framing.Kind
	answerEnd              framing.End
	hasAnswer, endsInEvent bool
	// firstAt is when the first event of a stream was forwarded.
	firstAt time.Duration
	// lastAt is when the last events were forwarded; longestGap is the longest time between two forwards.
	lastAt, longestGap time.Duration
}

// recordPrefill records the engine to which the prefill is sent, and the work that is queued there up to the given rank.
func (t *requestTrace) recordPrefill(selection *backEndSelection, now time.Duration, rank int) {
	t.prefillEngine, t.prefillAt = selection.backEnd.ID, now
	t.tokensToPrefill, t.tokensAhead, t.tokensAheadAll = selection.PrefillTokens, selection.queuedWork.TokensUpTo(rank), selection.queuedWork.PromptTokens()
}

// addForecast adds the forecast for the gap targets to a log line, if there is one.
func (t *requestTrace) addForecast(line *zerolog.Event) {
	if t.pause != placement.PauseUnknown {
		line.Str("pause", t.pause.String())
	}
}

// recordEndOfAnswer records how a back end's answer ended.
func (t *requestTrace) recordEndOfAnswer(kind framing.Kind, end framing.End) {
	t.answerFraming, t.answerEnd, t.hasAnswer = kind, end, true
}

// addEndOfAnswer adds to a log line how the last answer of a back end ended, if there was one.
func (t *requestTrace) addEndOfAnswer(line *zerolog.Event) {
	if t.hasAnswer {
		line.Stringer("framing", t.answerFraming).Stringer("end", t.answerEnd).Bool("ends_in_event", t.endsInEvent)
	}
}

// recordEvents records that events were forwarded.
func (t *requestTrace) recordEvents(now time.Duration) {
	if t.firstAt == 0 {
		t.firstAt = now
	} else {
		t.longestGap = max(t.longestGap, now-t.lastAt)
	}
	t.lastAt = now
}

// isLate reports whether a served request missed its route's targets.
func (t *requestTrace) isLate(request *request, ended time.Duration) bool {
	firstAt := t.firstAt
	if request.route.Kind != serving.KindStream {
		firstAt = ended
	}
	hasLongGap := request.route.TargetGap > 0 && t.longestGap > request.route.TargetGap
	return firstAt-request.arrivedAt > request.route.Target || hasLongGap
}
