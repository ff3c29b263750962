// Package planner decides which engine plays which role. It is pure: it reads an
// Observation and returns a Decision, with no clock, no I/O and no goroutine, so
// that the controller, the simulator and the experiment tool run the same code.
package planner

import (
	"time"

	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
)

// Observation is all the planner may know at one time. Every reading may be stale;
// its age is given with it.
type Observation struct {
	// Now is the time of the decision, since an origin of the caller's choice.
	Now     time.Duration
	Service string
	Engines []EngineObservation
	Demands []DemandObservation
	Kinds   []KindWorth
	Bounds  []RoleBound
	Pins    map[string]enginecontract.Role // engine name to role
	Policy  Policy
	Profile EngineProfile
	// RecentChanges are the times at which role changes of this service were
	// ordered, from the replicated log, so that the change budget and the dwell
	// survive a crash of the planner's process. Order does not matter.
	RecentChanges []time.Duration
}

// EngineObservation is one engine as last reported.
type EngineObservation struct {
	Name  string
	Zone  string
	Role  enginecontract.Role
	State enginecontract.ServiceState
	// RoleSince is the time the engine took its role.
	RoleSince time.Duration
	// Load is nil when the engine has never reported.
	Load    *enginecontract.LoadReport
	LoadAge time.Duration
	// OrderOutstanding tells that a change is under way at the engine.
	OrderOutstanding bool
	// TargetRole is the role the outstanding order asks for.
	TargetRole enginecontract.Role
}

// DemandObservation is one kind's demand over the last window, summed over gateways.
type DemandObservation struct {
	Kind              string
	Zone              string
	ArrivalsPerSecond float64
	// Mean tokens of one request.
	PromptTokens float64
	OutputTokens float64
	// CompletedPerSecond is the rate of requests that completed; OutputTokens are theirs.
	CompletedPerSecond float64
	// LostPerSecond is the rate of requests that were refused or missed their deadline.
	LostPerSecond float64
	// CachedShare is the share of prompt tokens found in prefix caches, 0 to 1.
	CachedShare float64
	Age         time.Duration
}

// KindWorth is what one completed request of a kind is worth.
type KindWorth struct {
	Kind     string
	Worth    float64
	Deadline time.Duration
}

// RoleBound limits the number of engines in a role, per zone or (empty zone) overall.
type RoleBound struct {
	Zone       string
	Role       enginecontract.Role
	Minimum    int
	Maximum    int // 0 is no maximum
	MaximumOut int // engines out for a change at once; 0 means 1
}

// Policy is the declared trade between goodput and role changes.
type Policy struct {
	ChangePrice    float64
	ChangesPerHour int // 0 is no limit
	MinimumDwell   time.Duration
	Horizon        time.Duration
}

// EngineProfile is what the planner assumes an engine can do.
type EngineProfile struct {
	PrefillTokensPerSecond float64
	// DecodeTokensPerSecond is one engine's output rate at full batch. The fluid model
	// derives it from the times below; the bench's baseline planner reads it.
	DecodeTokensPerSecond float64
	// MixedPenalty is the share of capacity lost when one engine does both, 0 to 1.
	MixedPenalty float64
	// A step of a batch takes StepBase, StepPerSequence for each sequence that writes
	// a token in it, StepPerContextToken for each token of context those hold, and the
	// time to read its chunk of prompt.
	StepBase            time.Duration
	StepPerSequence     time.Duration
	StepPerContextToken time.Duration
	// MaxBatch is the largest number of sequences in a batch.
	MaxBatch int
	// PrefillChunk and MixedChunk are the prompt tokens that one step reads at engines
	// of the roles.
	PrefillChunk int
	MixedChunk   int
	RoleChange   time.Duration
	// CacheWarmup is the time an engine that has just begun to read prompts needs
	// to fill its prefix cache; zero when caches are of no use.
	CacheWarmup time.Duration
	// WeightLoad is the time the weight store needs to deliver the weights one role
	// change loads; zero when a role change keeps the weights.
	WeightLoad time.Duration
}

// Change is one role change that the planner wants now.
type Change struct {
	Engine string
	From   enginecontract.Role
	To     enginecontract.Role
	// Gain is the worth expected over the horizon, after all costs.
	Gain   float64
	Reason string
}

// Decision is the planner's answer: changes to make now and why.
type Decision struct {
	Changes []Change
	// Reason says why these changes, or none, were chosen.
	Reason string
}

// Planner decides role changes for one service. Implementations may remember
// earlier observations to forecast; losing that memory may delay a change but
// must never repeat one.
type Planner interface {
	Plan(Observation) Decision
}
