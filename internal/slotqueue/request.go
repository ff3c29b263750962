package slotqueue

import "time"

// RequestID identifies a request of one incarnation of a relay, which numbers its requests from 1.
type RequestID struct {
	Relay, Number uint64
}

// Request asks for one slot of one back end.
type Request struct {
	ID RequestID
	// Level is the priority level, 0 the most urgent. Levels from LevelCount on count as the least urgent one.
	Level int
	// Tenant is the hash of the tenant's name; 0 for none. Requests without a tenant share one flow.
	Tenant uint64
	// TargetAt is when the route's latency target ends; DeadlineAt is when the client stops waiting.
	TargetAt, DeadlineAt time.Duration
	// Signature identifies the request when its client repeats it; 0 if unknown.
	Signature uint64
	// Excluded are the hashes of back ends that must not be granted.
	Excluded []uint64
	// MayHaveRun is true if the request cannot be refused as not run.
	MayHaveRun bool
}

// LevelCount is the number of priority levels that a Queue distinguishes.
const LevelCount = 16
