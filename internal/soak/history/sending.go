package history

import "time"

// Sending is one attempt of a client.
type Sending struct {
	ID string
	// Content is alike for attempts of the same request.
	Content string
	Route   string
	// Method, Target and BodyHash are what a back end must get.
	Method, Target, BodyHash string
	// Front is the relay that it was sent to.
	Front           string
	SentAt, EndedAt time.Duration
	// Deadline is the time that the client told it would wait.
	Deadline time.Duration
	// ClosedAt is when the client closed its connection before an answer came; 0 for never.
	ClosedAt time.Duration
	// Connected tells that the client had a connection to send on.
	Connected bool
	// Status is 0 where no answer came.
	Status int
	Seal   string
	Body   string
	// AnswerID is the identity that the answer bears.
	AnswerID string
	// Whole tells that the answer came to its end.
	Whole bool
}

// PromisesNotRun reports whether the answer says that the request has not run and never will.
func (s Sending) PromisesNotRun() bool {
	return s.Seal == "" && (s.Status == 408 || s.Status == 421 || s.Status == 429 || s.Status == 503)
}

// Succeeded reports whether the client got a success.
func (s Sending) Succeeded() bool { return s.Status >= 200 && s.Status < 300 }
