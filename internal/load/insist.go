package load

import (
	"context"
	"io"
	"time"

	"github.com/hazelpitch/hazelpitch/internal/pause"
	"github.com/hazelpitch/hazelpitch/internal/verdict"
)

const (
	// insistence bounds how often a caller sends one once-only request again.
	insistence = 60
	// insistPause is the time between two of its sendings.
	insistPause = 500 * time.Millisecond
	// codeStillRunning is the code of a resend that met its first sending under way.
	codeStillRunning = "still_running"
)

// sendOn sends a request and, when insist is set, a once-only one again through the next
// gateway for as long as its caller does not know how it ended.
func (c *client) sendOn(ctx context.Context, of request, due time.Time, insist bool, results chan<- Result) {
	for range insistence {
		result := c.send(of, due, io.Discard)
		results <- result
		if !insist || of.key == "" || !result.openEnded() {
			return
		}
		// The end of the load does not end a caller's interest in its request.
		pause.For(context.WithoutCancel(ctx), insistPause)
		of.detour++
		due = time.Now()
	}
}

// openEnded reports whether a caller with an idempotency key should ask again: it has no
// answer, or one that says that the request has not run or runs still.
func (r Result) openEnded() bool {
	switch r.Outcome {
	case Lost, Cut:
		return true
	case Refused:
		return r.Verdict == verdict.NotRun.String() || r.Code == codeStillRunning
	default:
		return false
	}
}
