package returnplan

import "time"

// Caller is a client that is refused now.
type Caller struct {
	// Signature identifies the request; it is the same when the client retries. Several clients may have the same one.
	// A caller with signature 0 is not recognised when it returns and gets no promise.
	Signature uint64
	// Tenant is the hash of the tenant's name; 0 for none.
	Tenant uint64
	// Level is the priority level, 0 the most urgent.
	Level int
	// FirstRefusedAt is when the client was first refused; the current time if that is not known. The plan itself
	// remembers it for clients that return at the time that it has given them.
	FirstRefusedAt time.Duration
}
