package history

import "time"

// Bounds are the times that the rules give to machines that are in touch.
type Bounds struct {
	// Contact is how long a machine must have been left alone to be in touch.
	Contact time.Duration
	// ConfigApply is how long after its acknowledgement a configuration is in force everywhere.
	ConfigApply time.Duration
	// Grace is how long a relay that is asked to stop may take.
	Grace time.Duration
	// LossSlack is how long after its last byte was sent a request counts as read.
	LossSlack time.Duration
	// Drain is how long after it is listed as leaving a back end may get new work.
	Drain time.Duration
	// Lease is the least time between orders of two holders.
	Lease time.Duration
	// Recovery is how long after the last fault requests are served again.
	Recovery time.Duration
	// RetryRatio, RetryWindow and RetrySlack bound sendings beyond the first of each request.
	RetryRatio  float64
	RetryWindow time.Duration
	RetrySlack  float64
}

// History is what was seen in one run, each list in the order of its times.
type History struct {
	Bounds Bounds
	Routes map[string]Route
	// Controllers names the processes that agree on everything.
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

// Route is what the operator says of a kind of request.
type Route struct {
	Name        string
	Repeatable  bool
	Stream      bool
	Resumable   bool
	MaxAttempts int
	Timeout     time.Duration
}
