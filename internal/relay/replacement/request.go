package replacement

import "time"

// Request is the state of a request whose back end is silent.
type Request struct {
	// IsCancelled is true if the client has disconnected.
	IsCancelled bool
	// IsQuarantined is true if the request must not be sent to a further back end.
	IsQuarantined bool
	// TimeLeft is the time until the deadline; UsualTime is the time in which a back end usually answers, or sends the first
	// event of a stream.
	TimeLeft, UsualTime time.Duration
}

// MayBeSentAgain reports whether the request may be sent to another back end now, with enough time for an answer.
func (r Request) MayBeSentAgain() bool {
	hasTime := r.TimeLeft > 0 && r.TimeLeft >= r.UsualTime
	return !r.IsCancelled && !r.IsQuarantined && hasTime
}
