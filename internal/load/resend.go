package load

import (
	"context"
	"io"
	"time"

	"github.com/hazelpitch/hazelpitch/internal/pause"
	"github.com/hazelpitch/hazelpitch/internal/verdict"
)

const (
	// maxAttempts limits the attempts of one at-most-once request, the first included.
	maxAttempts = 60
	// resendPause is the time between the outcome of one attempt to send a request and the next attempt.
	resendPause = 500 * time.Millisecond
	// codeStillRunning is the code of a resend whose earlier attempt is still running.
	codeStillRunning = "still_running"
)

// sendWithResends sends a request. With untilSettled set, it resends an at-most-once request through
// the next gateway as long as its caller does not know the outcome.
func (c *client) sendWithResends(ctx context.Context, req request, due time.Time, untilSettled bool, results chan<- Result) {
	for range maxAttempts {
		result := c.send(req, due, io.Discard)
		results <- result
		if !untilSettled || req.key == "" || !result.needsResend() {
			return
		}
		// The end of the load does not cancel the resends.
		pause.For(context.WithoutCancel(ctx), resendPause)
		req.gatewayOffset++
		due = time.Now()
	}
}

// needsResend reports whether a caller with an idempotency key should resend: it has no answer,
// or one that says that the request has not run or is still running.
func (r Result) needsResend() bool {
	switch r.Outcome {
	case Lost, Cut:
		return true
	case Refused:
		return r.Verdict == verdict.NotRun.String() || r.Code == codeStillRunning
	default:
		return false
	}
}
