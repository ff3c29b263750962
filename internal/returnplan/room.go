package returnplan

// Room is the expected capacity of the service.
type Room struct {
	// PerSecond is how many slots come free per second.
	PerSecond float64
	// Backlog is the number of queued requests that get their slots before any return.
	Backlog int
}
