package limits

import "time"

// requestedShare is what the reports asked the controllers for, and what came of it.
type requestedShare struct {
	// reportedAt is when the demand was last reported.
	reportedAt      time.Duration
	tokensPerSecond uint64
	concurrency     uint32
	// answeredAt is when the newest answered report was sent.
	answeredAt time.Duration
	// hasUnanswered tells that reports were sent since then, the first at unansweredFrom.
	hasUnanswered   bool
	unansweredSince time.Duration
}

// recordReport notes a recordReport.
func (a *requestedShare) recordReport(now time.Duration, tokensPerSecond uint64, concurrency uint32) {
	a.reportedAt = now
	a.tokensPerSecond, a.concurrency = tokensPerSecond, concurrency
	if !a.hasUnanswered {
		a.hasUnanswered, a.unansweredSince = true, now
	}
}

// recordAnswer notes the recordAnswer to a report that was sent at sentAt.
func (a *requestedShare) recordAnswer(sentAt time.Duration) {
	a.answeredAt = sentAt
	a.hasUnanswered = a.reportedAt > sentAt
	a.unansweredSince = a.reportedAt
}

// shareMayGrow reports whether the controllers may have more for the tenant than this gateway
// holds. They have not when they lately granted less than was asked, for then the tenant
// is at its limit; and nothing is to be expected of controllers that do not answer.
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
