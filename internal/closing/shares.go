package closing

// Fractions of the time for a stop, the same for relays and gateways.
const (
	// RefuseNewAfter is the fraction after which a stopping process refuses new requests; those accepted before have the remainder to
	// complete.
	RefuseNewAfter = 0.3
	// SendUntil is the fraction after which a stopping process sends no request to a back end any more: one that has waited, or was refused
	// elsewhere, would be cut there.
	SendUntil = 0.8
)
