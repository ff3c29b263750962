package history

import "time"

// Bounds are the time bounds that the rules set for machines that are in contact.
type Bounds struct {
	// Contact is how long a machine must be free of faults to count as in contact.
	Contact time.Duration
	// ConfigApply is how long after its acknowledgement a configuration is applied everywhere.
	ConfigApply time.Duration
	// Grace is how long a relay that was asked to stop may take.
	Grace time.Duration
	// LossSlack is how long after its last byte was sent a request counts as read by the relay.
	LossSlack time.Duration
	// Drain is for how long after it was listed as leaving a back end may receive new requests.
	Drain time.Duration
	// Lease is the shortest time between orders of two holders.
	Lease time.Duration
	// Recovery is how long after the last fault requests must be served again.
	Recovery time.Duration
	// RetryRatio, RetryWindow and RetrySlack bound the attempts beyond the first of each request.
	RetryRatio  float64
	RetryWindow time.Duration
	RetrySlack  float64
}

// History is what was observed in one run; each list is sorted by time.
type History struct {
	Bounds Bounds
	Routes map[string]Route
	// Controllers holds the names of the controllers.
	Controllers map[string]bool
	Sendings    []Sending
	Arrivals    []Arrival
	Changes     []Change
	Reads       []Read
	Orders      []Order
	Listings    []Listing
	Limits      []Limit
	Faults      []Fault
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
