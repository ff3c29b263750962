package relay

import (
	"time"

	"github.com/hazelpitch/hazelpitch/internal/serving"
)

// requestTrace is what became of a request, for the line at its end.
type requestTrace struct {
	// prefillEngine and engine are the back ends that took the request last.
	prefillEngine, engine string
	prefillAt, sentAt     time.Duration
	// tokensToPrefill and tokensAhead are the tokens that the prefill engine had to read for this request
	// and for others when it was picked, as far as was known.
	tokensToPrefill, tokensAhead, tokensAheadAll int
	// placementReason says why the prompt is read where it is.
	placementReason string
	// owner is the relay that decided on the last engine, empty for this one.
	owner string
	// firstAt is when the first event of a stream was passed on.
	firstAt time.Duration
	// lastAt is when the last events were passed on, longestGap the longest pause before any.
	lastAt, longestGap time.Duration
}

// recordPrefill notes which engine was asked to read the prompt at a rank, and what it had to do.
func (t *requestTrace) recordPrefill(chosen *selection, now time.Duration, rank int) {
	t.prefillEngine, t.prefillAt = chosen.backEnd.ID, now
	t.tokensToPrefill, t.tokensAhead, t.tokensAheadAll = chosen.PrefillTokens, chosen.queuedWork.TokensUpTo(rank), chosen.queuedWork.PromptTokens()
}

// recordEvents notes that events were recordEvents on.
func (t *requestTrace) recordEvents(now time.Duration) {
	if t.firstAt == 0 {
		t.firstAt = now
	} else {
		t.longestGap = max(t.longestGap, now-t.lastAt)
	}
	t.lastAt = now
}

// isLate reports whether a served request was later than its route's targets.
func (t *requestTrace) isLate(request *request, ended time.Duration) bool {
	firstAt := t.firstAt
	if request.route.Kind != serving.KindStream {
		firstAt = ended
	}
	hasLongGap := request.route.TargetGap > 0 && t.longestGap > request.route.TargetGap
	return firstAt-request.arrivedAt > request.route.Target || hasLongGap
}
