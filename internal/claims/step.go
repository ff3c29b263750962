package claims

import "time"

// Step is the next step of an operation: exactly one of Call, Wait and Done is set.
type Step struct {
	// Call is the address of the controller to call, for at most Timeout.
	Call    string
	Timeout time.Duration
	// Wait is the time until which to pause.
	Wait time.Duration
	// Done is true if no step is left.
	Done bool
}

// Failure describes a call without a usable response.
type Failure struct {
	// Leader is the address of the leader if the controller named it.
	Leader string
	// OverCapacity is true if the controllers accept no more claims for now.
	OverCapacity bool
	// Permanent is true if the controllers refused the call and would refuse it again.
	Permanent bool
}
