package slotqueue

// Held is a slot that a relay holds for one of its requests.
type Held struct {
	Number  uint64
	BackEnd uint64
}

// Report lists the slots of the service that one relay holds. Reports may be lost or arrive in another order; the next
// one replaces those before it.
type Report struct {
	// Relay is the identity of the relay's incarnation; Sequence counts its reports.
	Relay, Sequence uint64
	// AnsweredUpTo is a request number: the requests up to it had their final answers when the report was sent. Those
	// that hold a slot are in Held.
	AnsweredUpTo uint64
	Held         []Held
	// IsCut is true if Held lists only the lowest numbers, so that the report does not cover the slots of higher ones.
	IsCut bool
	// Released are the slots that the relay no longer needs, by request number.
	Released map[uint64]Result
}
