package returnplan

import "time"

// Promise is a time at which a refused client is to retry.
type Promise struct {
	// Signature and Tenant are those of the Caller.
	Signature, Tenant uint64
	// Level is the priority level, 0 the most urgent.
	Level int
	// DueAt is the promised time.
	DueAt time.Duration
}
