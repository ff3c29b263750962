package returnplan

// Change is a promise that the owner has made or that a client has redeemed. The owner sends it to the deputy as a
// SlotPromise message; times are sent relative to the time of sending, so that the deputy sets DueAt by its own clock.
type Change struct {
	Promise Promise
	// Redeemed is true if the client has returned.
	Redeemed bool
}
