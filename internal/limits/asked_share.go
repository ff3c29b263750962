package limits

import "time"

// askedShare is what the reports asked the controllers for, and what came of it.
type askedShare struct {
	// reportedAt is when the demand was last reported.
	reportedAt      time.Duration
	tokensPerSecond uint64
	concurrency     uint32
	// answeredAt is when the newest answered report was sent.
	answeredAt time.Duration
	// unanswered tells that reports were sent since then, the first at unansweredFrom.
	unanswered     bool
	unansweredFrom time.Duration
}

// report notes a report.
func (a *askedShare) report(now time.Duration, tokensPerSecond uint64, concurrency uint32) {
	a.reportedAt = now
	a.tokensPerSecond, a.concurrency = tokensPerSecond, concurrency
	if !a.unanswered {
		a.unanswered, a.unansweredFrom = true, now
	}
}

// answer notes the answer to a report that was sent at sentAt.
func (a *askedShare) answer(sentAt time.Duration) {
	a.answeredAt = sentAt
	a.unanswered = a.reportedAt > sentAt
	a.unansweredFrom = a.reportedAt
}

// mayGrow reports whether the controllers may have more for the tenant than this gateway
// holds. They have not when they lately granted less than was asked, for then the tenant
// is at its limit; and nothing is to be expected of controllers that do not answer.
func (a *account) mayGrow(now, longestWait time.Duration) bool {
	if a.asked.unanswered {
		return now-a.asked.unansweredFrom < longestWait
	}
	granted := &a.shares.granted
	if now >= granted.expiresAt {
		return true
	}
	fewTokens := a.limit.TokensPerSecond != 0 && granted.tokensPerSecond < float64(a.asked.tokensPerSecond)
	fewRequests := a.limit.Concurrency != 0 && granted.concurrency < a.asked.concurrency
	return !fewTokens && !fewRequests
}
