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
}

// AskedIn reads an answer's status, its header Retry-After and the header that tells of leaving: any value of
// that is a yes. Only a 503 asks for rest; with other statuses Retry-After is about one request.
func AskedIn(status int, retryAfter, leaving []byte) Asked {
	asked := Asked{Leaving: len(leaving) > 0}
	if status == statusUnavailable {
		asked.Rest = RetryAfter(retryAfter)
	}
	return asked
}
