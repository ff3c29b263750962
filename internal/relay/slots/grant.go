package slots

// Grant is a slot that this relay holds until it calls Release.
type Grant struct {
	service string
	number  uint64
	// BackEnd is the hash of the back end to which the request may be sent.
	BackEnd uint64
}
