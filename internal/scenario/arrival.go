package scenario

import "time"

// Arrival is one request of a run.
type Arrival struct {
	// Number is the index of the arrival in the run, from 0.
	Number int
	// At is the time since the run's start.
	At time.Duration
	// Kind, Zone and Tenant are indexes: into Scenario.Kinds and Scenario.Zones, and from 0
	// to Tenants.Count-1.
	Kind   int
	Zone   int
	Tenant int
	// PromptTokens and OutputTokens of the request.
	PromptTokens int
	OutputTokens int
	// Subject is the number of the shared prefix, from 0, and SharedTokens its length; no
	// prefix is shared if SharedTokens is 0. Only prompts of one kind and tenant share a
	// prefix.
	Subject      int
	SharedTokens int
}
