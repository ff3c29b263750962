package returnplan

import "time"

// promiseRequest is a caller's request for a promise, with its tenant's account and its rank.
type promiseRequest struct {
	Caller
	now     time.Duration
	account *account
	rank    rank
	// notBefore is the earliest start of the span in which it may return.
	notBefore time.Duration
}
