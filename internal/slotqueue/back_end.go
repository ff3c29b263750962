package slotqueue

// BackEnd is one back end of the service as the owner of its slots knows it.
type BackEnd struct {
	// Hash is the hash of the identity of one incarnation of the back end.
	Hash uint64
	// Slots is the number of requests that it serves at a time. No slot is granted of a back end with 0.
	Slots int
	// Closed is true if the back end takes no new requests. Slots in use stay in use.
	Closed bool
}
