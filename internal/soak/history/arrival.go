package history

import "time"

// Arrival is a request that reached a back end.
type Arrival struct {
	ID string
	// Replica identifies the incarnation of the back end; two incarnations of one replica may share an identity.
	Replica string
	// Service is the back end's service; NoService for an address that only list entries of other writers name.
	Service string
	// Machine is the name of the relay that received the request from its client; empty when no client sent it.
	Machine                  string
	At                       time.Duration
	Method, Target, BodyHash string
	// Deadline is the time that the relay gave the back end; 0 for none.
	Deadline time.Duration
	// ReadOnly is true if the back end was asked for the prefill only.
	ReadOnly bool
	// Ran is true if the back end began to run the request, Crashed if it crashed while it ran the request.
	Ran, Crashed bool
	EndedAt      time.Duration
	Status       int
	Seal, Body   string
	// Rest is the backoff that the response asked the relay for; 0 for none. Leaving is true if the response announced
	// that the back end leaves.
	Rest    time.Duration
	Leaving bool
	// Limited is true if the response announced a limit for all relays together.
	Limited bool
	// EndsWithConnection is true if the response had neither a length nor chunks, BrokenOff if the back end broke it off.
	EndsWithConnection, BrokenOff bool
	// RequestUnread is true if the back end had not received the whole request when it broke its response off; BodyHash says nothing then.
	RequestUnread bool
	// LastEvent is the number of the last event that the relay named, after which the stream goes on; 0 for none.
	LastEvent int
	// Cancelled is true if the back end saw its connection close before the end of the response, at EndedAt.
	Cancelled bool
}

// NoService is the service of an address at which the site has no back end.
const NoService = ""
