package history

import "time"

// Bounds are the durations and retry limits by which the checks of a soak run judge the recorded history. Contact defines
// which relays count as in contact with the controllers; several checks apply only to these relays.
type Bounds struct {
	// Contact is how long a relay and all controllers must have been free of faults for the relay to count as in contact.
	Contact time.Duration
	// ConfigApply is the time from the acknowledgement of a configuration until it is applied everywhere.
	ConfigApply time.Duration
	// Grace is how long a relay that was asked to stop may take to exit.
	Grace time.Duration
	// LossSlack is the time after Sending.SentAt from which a request counts as read by the relay, even if no back end
	// received it.
	LossSlack time.Duration
	// Drain is how long a back end may still receive new requests after it was listed as leaving.
	Drain time.Duration
	// Lease is the period within which orders of two holders to one back end must not alternate.
	Lease time.Duration
	// Recovery is the time after the last fault from which requests must be served again.
	Recovery time.Duration
	// In each RetryWindow, back ends may receive RetrySlack attempts beyond the first of their requests, plus RetryRatio
	// for each attempt that clients send.
	RetryRatio  float64
	RetryWindow time.Duration
	RetrySlack  float64
	// ReturnShare is the share of the returns as told that must be served, TenantShare the share of the attempts that must
	// be served of a tenant that asks for less than its share; 0 means that they are only counted.
	ReturnShare, TenantShare float64
	// NoMixedStreams is true if not a single stream may hold events of several software versions or of several services.
	NoMixedStreams bool
}

// History is what was observed in one run; each list is sorted by time.
type History struct {
	Bounds Bounds
	Routes map[string]Route
	// Controllers holds the names of the controllers.
	Controllers map[string]bool
	// SlotOwner is the name of the relay that owns the shared slots of the service with few slots; empty when no slots
	// are shared.
	SlotOwner string
	Sendings  []Sending
	Arrivals  []Arrival
	Changes   []Change
	Reads     []Read
	Orders    []Order
	Listings  []Listing
	Limits    []Limit
	Faults    []Fault
	// FinalFault is the fault that ends the run; nil for none.
	FinalFault *FinalFault
}

// Route is the declaration of a kind of request.
type Route struct {
	Name        string
	Repeatable  bool
	Stream      bool
	Resumable   bool
	MaxAttempts int
	Timeout     time.Duration
}
