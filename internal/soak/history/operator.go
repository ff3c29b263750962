package history

import "time"

// Change is a configuration that the operator submitted.
type Change struct {
	Number uint64
	SentAt time.Duration
	// AckedAt is when a controller acknowledged the configuration; 0 for never.
	AckedAt time.Duration
	// EndedAt is when the operator stopped sending it.
	EndedAt time.Duration
	// Status is the status code of the last response, 0 for none.
	Status int
	// Services maps each route to its service, or to the first one.
	Services map[string]string
	// SecondServices maps each route whose requests are split between two services to the second one.
	SecondServices map[string]string
	// Invalid is true if the configuration must never be accepted.
	Invalid bool
}

// Read is one read of the configuration by the operator.
type Read struct {
	SentAt, At time.Duration
	Status     int
	Number     uint64
}

// Order is an order as a back end received it.
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
	// Software is the software version of a back end that decodes, in the entry that lists it as ready; empty for others.
	Software string
	// Service is the service of a back end, in the entry that lists it as ready.
	Service string
}

// ReplicaState is the state of a back end on the platform's list.
type ReplicaState string

// States of back ends.
const (
	Ready    ReplicaState = "ready"
	Draining ReplicaState = "draining"
	Gone     ReplicaState = "gone"
)
