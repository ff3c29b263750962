package load

import (
	"time"

	"github.com/hazelpitch/hazelpitch/internal/verdict"
)

// Outcome is how one request ended for its caller.
type Outcome string

// Outcomes.
const (
	// Completed is a whole answer that is the request's own.
	Completed Outcome = "completed"
	// Refused is an answer of 400 and above.
	Refused Outcome = "refused"
	// Cut is an answer that began and has no end.
	Cut Outcome = "cut"
	// Expired is an answer that the gateway ended with an error because its deadline
	// had passed: without worth, and told truly.
	Expired Outcome = "expired"
	// Mixed is an answer that isn't the request's own.
	Mixed Outcome = "mixed"
	// Lost is a connection that ended without any answer.
	Lost Outcome = "lost"
	// NotSent is an arrival beyond the limit of requests in flight.
	NotSent Outcome = "not-sent"
)

// Result is one request's end.
type Result struct {
	Kind string
	// Tenant is the position of the caller's key in Target.Keys, before it wraps.
	Tenant  int
	Outcome Outcome
	// Verdict is the answer's last: a stream's X-Run-Verdict-Final, or else X-Run-Verdict;
	// empty without an answer.
	Verdict string
	Status  int
	Code    string
	// Due is when the request was due, since the run began.
	Due time.Duration
	// FirstByte and Total are times since the request was due, not since it was sent.
	FirstByte time.Duration
	Total     time.Duration
	Tokens    int
	// Prompt is the key of a chat's prompt; Key is a page request's idempotency key.
	Prompt string
	Key    string
	Detail string
	// Gateway is the IP:port that the request was sent to, Ended the time of its end.
	Gateway string
	Ended   time.Time
}

// MayHaveRun reports whether the caller was told that its request may have run.
func (r Result) MayHaveRun() bool { return r.Verdict == verdict.MayHaveRun.String() }
