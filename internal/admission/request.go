package admission

import "time"

// Request is what admission needs to know about one request.
type Request struct {
	// ID is unique among the requests offered to a Core and not yet finished or refused.
	ID     uint64
	Tenant string
	// Class names requests that take alike long at back ends: their kind.
	Class string
	// Priority is the order in which back ends read prompts, higher first.
	Priority int32
	// Weight is the tenant's part under contention; 0 counts as 1.
	Weight uint32
	// Worth of the request when it completes in time.
	Worth float64
	// PromptTokens and OutputTokens are estimates; both 0 counts as one token.
	PromptTokens int
	OutputTokens int
	// Bytes of memory that the request holds while it waits.
	Bytes int64
	// Deadline is the time of the last byte; 0 for none.
	Deadline time.Duration
	// MinimumTime is the shortest time the request takes once it has been started.
	MinimumTime time.Duration
}

// latestStart is the last time at which starting the request makes sense.
func (r *Request) latestStart() time.Duration {
	if r.Deadline == 0 {
		return noDeadline
	}
	return r.Deadline - r.MinimumTime
}

const noDeadline = time.Duration(1<<63 - 1)
