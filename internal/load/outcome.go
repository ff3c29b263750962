package load

import (
	"time"

	"github.com/hazelpitch/hazelpitch/internal/verdict"
)

// Outcome is how one request ended from its caller's view.
type Outcome string

// Outcomes of requests.
const (
	// Completed is a complete answer that belongs to the request.
	Completed Outcome = "completed"
	// Refused is an answer with a status of 400 or above.
	Refused Outcome = "refused"
	// Cut is an answer that started and did not complete.
	Cut Outcome = "cut"
	// Expired is an answer that the gateway ended with an error event because its deadline
	// had passed: it has no worth, but the caller was informed correctly.
	Expired Outcome = "expired"
	// Mixed is an answer whose content does not belong to the request.
	Mixed Outcome = "mixed"
	// Lost is a connection that ended without an answer.
	Lost Outcome = "lost"
	// NotSent is an arrival beyond the limit of requests in flight.
	NotSent Outcome = "not-sent"
)

// Result is the result of one attempt of a request.
type Result struct {
	Kind string
	// Tenant selects the caller's API key: its index in Target.Keys is Tenant modulo the number of keys.
	Tenant  int
	Outcome Outcome
	// Verdict is the last verdict of the answer: a stream's X-Run-Verdict-Final if present,
	// else X-Run-Verdict; empty without an answer.
	Verdict string
	Status  int
	Code    string
	// Due is when the request was due, since the start of the run.
	Due time.Duration
	// FirstByte and Total are times since the request was due, not since it was sent.
	FirstByte time.Duration
	Total     time.Duration
	Tokens    int
	// Prompt is the hash of a chat's prompt, in hexadecimal; Key is a page request's idempotency key.
	Prompt string
	Key    string
	Detail string
	// Gateway is the IP:port that the request was sent to, Ended the time at which its result was known.
	Gateway string
	Ended   time.Time
}

// MayHaveRun reports whether the caller's last verdict is that its request may have run.
func (r Result) MayHaveRun() bool { return r.Verdict == verdict.MayHaveRun.String() }
