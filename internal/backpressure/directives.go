package backpressure

import "time"

// HTTP status codes. Successes are from statusOK up to, but not including, statusMultipleChoices.
const (
	statusOK              = 200
	statusMultipleChoices = 300
	statusUnavailable     = 503
)

// Directives are what a back end requests in one response; the zero value requests nothing.
type Directives struct {
	// Backoff is how long this process must not send requests to the back end.
	Backoff time.Duration
	// Leaving is true if the back end is leaving.
	Leaving bool
	// Limit is the back end's request limit for all processes together. Unlimited is true if there is no limit, because
	// a successful response does not name one. Neither is set if the header is malformed.
	Limit     Limit
	Unlimited bool
}

// Headers are the header values of one response that carry directives.
type Headers struct {
	// RetryAfter is the value of Retry-After, Leaving that of the header that announces leaving; empty if absent.
	RetryAfter, Leaving []byte
	// Limit are the values of the header that names the limit.
	Limit [][]byte
}

// ParseDirectives returns the directives in a response's status and headers. Any value of the leaving header announces
// that the back end is leaving. Only a 503 requests a backoff; with other statuses Retry-After concerns a single request.
func ParseDirectives(status int, headers Headers) Directives {
	directives := Directives{Leaving: len(headers.Leaving) > 0}
	limit, readable := ParseLimit(headers.Limit)
	isSuccess := status >= statusOK && status < statusMultipleChoices
	directives.Limit, directives.Unlimited = limit, readable && !limit.IsSet && isSuccess
	if status == statusUnavailable {
		directives.Backoff = ParseRetryAfter(headers.RetryAfter)
	}
	return directives
}

// StatesLimit reports whether the response stated a limit or its absence.
func (d Directives) StatesLimit() bool { return d.Limit.IsSet || d.Unlimited }
