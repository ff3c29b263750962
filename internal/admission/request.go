package admission

import "time"

// Request describes a request for its admission.
type Request struct {
	// ID is unique among the requests of a Core that are waiting or in flight.
	ID     uint64
	Tenant string
	// Class groups requests with similar latency at back ends; it is their kind.
	Class string
	// Priority is the order in which back ends prefill prompts, higher first.
	Priority int32
	// Weight is the tenant's weight under contention; 0 counts as 1.
	Weight uint32
	// Worth is the value of the request when it completes in time.
	Worth float64
	// PromptTokens and OutputTokens are estimates; if both are 0, the request counts as one token.
	PromptTokens int
	OutputTokens int
	// Bytes is the memory that the request occupies while it waits.
	Bytes int64
	// Deadline is the time by which the last byte must be sent; 0 for none.
	Deadline time.Duration
	// MinimumTime is the shortest duration of the request after its start.
	MinimumTime time.Duration
}

// latestStart returns the latest time at which the request can start and meet its deadline.
func (r *Request) latestStart() time.Duration {
	if r.Deadline == 0 {
		return noDeadline
	}
	return r.Deadline - r.MinimumTime
}

// noDeadline is the latest start of a request without a deadline.
const noDeadline = time.Duration(1<<63 - 1)
