package slots

import "time"

// Request asks for a slot for one attempt of a client's request.
type Request struct {
	Service string
	// Level is the priority level, 0 the most urgent.
	Level int
	// Tenant is the hash of the tenant's name; 0 for none.
	Tenant uint64
	// TargetAt is when the route's latency target ends; DeadlineAt is when the client stops waiting.
	TargetAt, DeadlineAt time.Duration
	// Signature is the same when the client retries.
	Signature uint64
	// Excluded are the hashes of back ends that must not be granted.
	Excluded []uint64
	// MayHaveRun is true if an earlier attempt may have run, so that the request cannot be refused as not run.
	MayHaveRun bool
}
