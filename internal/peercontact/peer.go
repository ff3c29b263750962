package peercontact

import "time"

// Never is the age of what has not happened yet.
const Never = time.Duration(-1)

// Peer is the contact with one peer at a moment.
type Peer struct {
	// Address is the IP:port at which the peer is called.
	Address string
	// ReceivedAge is the time since the last message from the peer, DeliveredAge the time since the peer last confirmed
	// messages to it; Never for none.
	ReceivedAge, DeliveredAge time.Duration
	// Connections is the number of open connections to the peer, ConnectionAge the age of the newest one; Never for none.
	Connections   int
	ConnectionAge time.Duration
	// Failures are the failures since the process started, in a fixed order, without those that did not occur.
	Failures []Failure
}

// Failure is how often an operation failed for a cause.
type Failure struct {
	Operation Operation
	Cause     Cause
	Count     int
	// Age is the time since the last time.
	Age time.Duration
}

// Operation is what failed.
type Operation string

// Operations with a peer.
const (
	// Connect is an attempt to open a connection.
	Connect Operation = "connect"
	// Deliver is a call with messages.
	Deliver Operation = "deliver"
)

// operations are all operations, in the order of Peer.Failures.
var operations = []Operation{Connect, Deliver}
