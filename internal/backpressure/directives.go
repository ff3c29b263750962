package backpressure

import "time"

// HTTP's statuses: those of successes are from statusOK up to statusMultipleChoices, which is none.
const (
	statusOK              = 200
	statusMultipleChoices = 300
	statusUnavailable     = 503
)

// Directives is what one answer of a back end asks for; the zero value asks for nothing.
type Directives struct {
	// Backoff is how long the back end wants nothing from this process.
	Backoff time.Duration
	// Leaving tells that the back end leaves.
	Leaving bool
	// Limit is what the back end takes of all processes together. Unlimited tells that the answer says by its silence that
	// there is no limit: only a success does. Neither is set where the header cannot be read.
	Limit     Limit
	Unlimited bool
}

// Headers are the headers of one answer with which a back end asks for something.
type Headers struct {
	// RetryAfter is the value of Retry-After, Leaving that of the header that tells of leaving; empty where absent.
	RetryAfter, Leaving []byte
	// Limit are the values of the header that names a limit.
	Limit [][]byte
}

// ParseDirectives reads an answer's status and words. Any value of the header that tells of leaving is a yes. Only a 503 asks
// for rest; with other statuses Retry-After is about one request.
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

// StatesLimit reports whether the answer said anything of a limit.
func (a Directives) StatesLimit() bool { return a.Limit.IsSet || a.Unlimited }
