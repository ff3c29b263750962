package scenario

import "time"

// Arrival is one request of a run.
type Arrival struct {
	// Number is the position in the run, from 0.
	Number int
	// At is the time since the run's start.
	At time.Duration
	// Kind, Zone and Tenant are indexes: in Scenario.Kinds, Scenario.Zones and
	// 0 to Tenants.Count-1.
	Kind   int
	Zone   int
	Tenant int
	// PromptTokens and OutputTokens of the request.
	PromptTokens int
	OutputTokens int
	// Subject is the number of the shared beginning, from 0, and SharedTokens its
	// length; SharedTokens of 0 is no shared beginning. Beginnings belong to one
	// kind and tenant.
	Subject      int
	SharedTokens int
}
