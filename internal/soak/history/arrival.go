package history

import "time"

// Arrival is a request at a back end.
type Arrival struct {
	ID string
	// Replica is the start of the back end; two starts of one replica may bear one identity.
	Replica string
	// Service is the back end's; NoService where only entries of other writers name the place.
	Service string
	// Machine is the name of the relay that took the request from its client; empty where no client
	// sent it.
	Machine                  string
	At                       time.Duration
	Method, Target, BodyHash string
	// Deadline is the time that the back end was given; 0 for none.
	Deadline time.Duration
	// ReadOnly tells that only its prompt was to be read.
	ReadOnly bool
	// Ran tells that the back end began to run it, Crashed that it ended under it.
	Ran, Crashed bool
	EndedAt      time.Duration
	Status       int
	Seal, Body   string
	// Rest is how long the answer asked the relay to send nothing; 0 for none. Leaving tells that the answer said
	// that the back end leaves.
	Rest    time.Duration
	Leaving bool
	// Limited tells that the answer names a limit for all relays together.
	Limited bool
	// Cancelled tells that the back end saw its connection close before the end, at EndedAt.
	Cancelled bool
}

// NoService is the service of places that no back end of the site has.
const NoService = ""
