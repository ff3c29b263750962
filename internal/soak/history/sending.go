package history

import "time"

// Sending is one attempt of a client to send a request.
type Sending struct {
	ID string
	// Content is equal for all attempts of the same request.
	Content string
	Route   string
	// Method, Target and BodyHash are what the back end must receive.
	Method, Target, BodyHash string
	// Front is the name of the relay to which the attempt was sent.
	Front           string
	SentAt, EndedAt time.Duration
	// Deadline is the time that the client announced it would wait.
	Deadline time.Duration
	// ClosedAt is when the client closed its connection before a response came; 0 for never.
	ClosedAt time.Duration
	// LeftAt is when the client closed its connection during the response; 0 for never.
	LeftAt time.Duration
	// ResetAt is when the connection of the attempt was reset on its way, by a fault; 0 for never.
	ResetAt time.Duration
	// Connected is true if the client had an open connection on which to send the request.
	Connected bool
	// ResentAt is when the client's library sent the request again, since its connection had ended without a response; 0
	// for never.
	ResentAt time.Duration
	// AnsweredAt is when the head of the response arrived; 0 for never.
	AnsweredAt time.Duration
	// Status is the status code of the response; 0 for no response.
	Status int
	Seal   string
	Body   string
	// AnswerID is the request identity that the response carries.
	AnswerID string
	// Whole is true if the response has not visibly broken off. EndsWithConnection is true if it had neither a length nor chunks:
	// then nothing says whether it was complete.
	Whole, EndsWithConnection bool
	// Tenant is the name of the tenant that sent the attempt; empty for none.
	Tenant string
	// Request is equal for all attempts of one request of a tenant.
	Request string
	// Resumes is the identity of the attempt that brought the first event of the stream that this attempt takes up; empty for an
	// attempt that begins a stream. LastEvent is the number of the last event that the client had.
	Resumes   string
	LastEvent int
	// SharedParts are the IDs of the parts of the prompt that other requests share.
	SharedParts []string
	// RetryAfter is the time after which the response asked the client to return; 0 for none.
	RetryAfter time.Duration
	// DueAt is when the client was told to return with this attempt, in a response that it got at RefusedAt; both are 0
	// for an attempt that is not a return as told.
	RefusedAt, DueAt time.Duration
}

// PromisesNotRun reports whether the response says that the request has not run and never will.
func (s Sending) PromisesNotRun() bool {
	return s.Seal == "" && (s.Status == 408 || s.Status == 421 || s.Status == 429 || s.Status == 503)
}

// WasRun reports whether the response is that of a back end that ran the request.
func (s Sending) WasRun() bool { return s.Seal != "" }

// IsDeclaredWhole reports whether the response is framed as complete.
func (s Sending) IsDeclaredWhole() bool { return s.Whole && !s.EndsWithConnection }

// Succeeded reports whether the client got a success status.
func (s Sending) Succeeded() bool { return s.Status >= 200 && s.Status < 300 }
