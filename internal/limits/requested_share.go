package limits

import "time"

// requestedShare records what the reports requested from the controllers and whether they answered.
type requestedShare struct {
	// reportedAt is when the demand was last reported.
	reportedAt      time.Duration
	tokensPerSecond uint64
	concurrency     uint32
	// answeredAt is when the latest report that the controllers have answered was sent.
	answeredAt time.Duration
	// hasUnanswered is true if reports were sent since answeredAt, the first at unansweredSince.
	hasUnanswered   bool
	unansweredSince time.Duration
}

// recordReport records that a report with this demand was sent.
func (r *requestedShare) recordReport(now time.Duration, tokensPerSecond uint64, concurrency uint32) {
	r.reportedAt = now
	r.tokensPerSecond, r.concurrency = tokensPerSecond, concurrency
	if !r.hasUnanswered {
		r.hasUnanswered, r.unansweredSince = true, now
	}
}

// recordAnswer records the answer to a report that was sent at sentAt.
func (r *requestedShare) recordAnswer(sentAt time.Duration) {
	r.answeredAt = sentAt
	r.hasUnanswered = r.reportedAt > sentAt
	r.unansweredSince = r.reportedAt
}

// shareMayGrow reports whether the controllers may grant the tenant more than this gateway holds.
// If they recently granted less than requested, the tenant is at its limit. Controllers that have
// not answered for longestWait are not expected to grant anything.
func (a *account) shareMayGrow(now, longestWait time.Duration) bool {
	if a.requested.hasUnanswered {
		return now-a.requested.unansweredSince < longestWait
	}
	granted := &a.shares.granted
	if now >= granted.expiresAt {
		return true
	}
	fewTokens := a.limit.TokensPerSecond != 0 && granted.tokensPerSecond < float64(a.requested.tokensPerSecond)
	fewRequests := a.limit.Concurrency != 0 && granted.concurrency < a.requested.concurrency
	return !fewTokens && !fewRequests
}
