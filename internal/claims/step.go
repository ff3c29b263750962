package claims

import "time"

// Step is what to do next: exactly one of Call, Wait and Done is set.
type Step struct {
	// Call is the address of the controller to call, for at most Timeout.
	Call    string
	Timeout time.Duration
	// Wait is the time until which to do nothing.
	Wait time.Duration
	// Done tells that nothing is left to do.
	Done bool
}

// Failure is a call that brought no usable answer.
type Failure struct {
	// Leader is the address of the leader, when the controller named it.
	Leader string
	// OverCapacity tells that the controllers keep no more claims for now.
	OverCapacity bool
	// Permanent tells that the controllers have refused and will refuse again.
	Permanent bool
}
