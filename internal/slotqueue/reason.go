package slotqueue

// Reason is why a request was refused. Its numbers are sent in messages and must not change.
type Reason uint32

// Reasons.
const (
	ReasonNone Reason = iota
	// ReasonDeadline: the request could not be completed before its deadline even if it got a slot at once.
	ReasonDeadline
	// ReasonWait: the requests ahead would delay it past its deadline.
	ReasonWait
	// ReasonTarget: the requests ahead would delay it past its latency target, and a return was promised.
	ReasonTarget
	// ReasonQueueFull: the queue was full and the request was the newest of the least urgent ones.
	ReasonQueueFull
	// ReasonNotAwaited: its relay has cancelled the request or has had its final answer, or the request excludes all open
	// back ends. The relay refuses no client for this: if it still awaits the slot, it selects a back end by itself.
	ReasonNotAwaited
)

var reasonNames = [...]string{"none", "deadline", "wait", "target", "queue_full", "not_awaited"}

// String returns the name of the reason as metrics and log lines have it.
func (r Reason) String() string {
	if int(r) >= len(reasonNames) {
		return "unknown"
	}
	return reasonNames[r]
}
