package returnplan

import "time"

// question is a caller with what the plan knows about it.
type question struct {
	Caller
	now     time.Duration
	account *account
	rank    rank
	// notBefore is the earliest start of the span of its return.
	notBefore time.Duration
}
