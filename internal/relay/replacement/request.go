package replacement

// Request is the state of a request whose back end is silent.
type Request struct {
	// IsOver is true if the client has disconnected or the deadline has passed.
	IsOver bool
	// IsQuarantined is true if the request must not be sent to a further back end.
	IsQuarantined bool
}

// MayBeSentAgain reports whether the request may be sent to another back end now.
func (r Request) MayBeSentAgain() bool { return !r.IsOver && !r.IsQuarantined }
