package history

import "time"

// Change is a configuration that an operator sent.
type Change struct {
	Number uint64
	SentAt time.Duration
	// AckedAt is when it was acknowledged; 0 for never.
	AckedAt time.Duration
	// Status is the last answer's, 0 for none.
	Status int
	// Services are the services by route.
	Services map[string]string
	// Invalid tells that it must never be taken.
	Invalid bool
}

// Read is a reading of the configuration.
type Read struct {
	SentAt, At time.Duration
	Status     int
	Number     uint64
}

// Order is an order to a back end, as that one got it.
type Order struct {
	At      time.Duration
	Replica string
	Holder  string
	Fence   uint64
}

// Listing is a change of a back end's state on the platform's list.
type Listing struct {
	At      time.Duration
	Replica string
	State   ReplicaState
}

// ReplicaState is how a back end stands on the list.
type ReplicaState string

// States of back ends.
const (
	Ready    ReplicaState = "ready"
	Draining ReplicaState = "draining"
	Gone     ReplicaState = "gone"
)
