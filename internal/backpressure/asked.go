package backpressure

import "time"

// statusUnavailable is HTTP's status 503.
const statusUnavailable = 503

// Asked is what one answer of a back end asks for; the zero value asks for nothing.
type Asked struct {
	// Rest is how long the back end wants nothing from this process.
	Rest time.Duration
	// Leaving tells that the back end leaves.
	Leaving bool
	// Limit is what the back end takes of all processes together; LimitUnreadable tells that it names one that is no
	// decimal number, which says nothing.
	Limit           Limit
	LimitUnreadable bool
}

// Words are the headers of one answer with which a back end asks for something.
type Words struct {
	// RetryAfter is the value of Retry-After, Leaving that of the header that tells of leaving; empty where absent.
	RetryAfter, Leaving []byte
	// Limit are the values of the header that names a limit.
	Limit [][]byte
}

// AskedIn reads an answer's status and words. Any value of the header that tells of leaving is a yes. Only a 503 asks
// for rest; with other statuses Retry-After is about one request.
func AskedIn(status int, words Words) Asked {
	asked := Asked{Leaving: len(words.Leaving) > 0}
	limit, readable := ParseLimit(words.Limit)
	asked.Limit, asked.LimitUnreadable = limit, !readable
	if status == statusUnavailable {
		asked.Rest = RetryAfter(words.RetryAfter)
	}
	return asked
}
