// Package planner decides which engine has which role. It is pure: it reads an Observation and returns a Decision,
// with no clock, no I/O and no goroutine, so that the controller, the simulator and the experiment tool run the same
// code.
package planner

import (
	"time"

	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
)

// Observation is the planner's complete input at one time. Every report in it may be old and has its age.
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
	// RecentChanges are the times, in any order, at which role changes of this service were ordered. They come from
	// the replicated log, so that the change budget and the dwell survive a crash of the planner's process.
	RecentChanges []time.Duration
}

// EngineObservation is the last reported state of an engine.
type EngineObservation struct {
	Name  string
	Zone  string
	Role  enginecontract.Role
	State enginecontract.ServiceState
	// RoleSince is the time at which the engine assumed its role.
	RoleSince time.Duration
	// Load is nil if the engine has never reported.
	Load    *enginecontract.LoadReport
	LoadAge time.Duration
	// OrderOutstanding is true while the engine carries out an ordered role change.
	OrderOutstanding bool
	// TargetRole is the role of the outstanding order.
	TargetRole enginecontract.Role
}

// DemandObservation is the demand of one kind in one zone over the last window, summed over gateways.
type DemandObservation struct {
	Kind              string
	Zone              string
	ArrivalsPerSecond float64
	// PromptTokens is the mean over all requests, OutputTokens the mean over those that generated output.
	PromptTokens float64
	OutputTokens float64
	// CompletedPerSecond is the rate of completed requests.
	CompletedPerSecond float64
	// LostPerSecond is the rate of requests that were refused or missed their deadline.
	LostPerSecond float64
	// CachedShare is the share of prompt tokens found in prefix caches, 0 to 1.
	CachedShare float64
	Age         time.Duration
}

// KindWorth is the worth of a completed request of a kind.
type KindWorth struct {
	Kind     string
	Worth    float64
	Deadline time.Duration
}

// RoleBound limits the number of engines in a role, in a zone or, if the zone is empty, in all zones together.
type RoleBound struct {
	Zone       string
	Role       enginecontract.Role
	Minimum    int
	Maximum    int // 0 means no maximum
	MaximumOut int // engines unavailable for a change at once; 0 means 1
}

// Policy is the declared trade-off between goodput and role changes.
type Policy struct {
	ChangePrice    float64
	ChangesPerHour int // 0 means no limit
	MinimumDwell   time.Duration
	Horizon        time.Duration
}

// EngineProfile is the assumed performance of an engine.
type EngineProfile struct {
	PrefillTokensPerSecond float64
	// DecodeTokensPerSecond is one engine's decode rate at full batch. The baseline planner of the experiments uses
	// it; the fluid model derives the rate from the times below.
	DecodeTokensPerSecond float64
	// MixedPenalty is the share of capacity lost in an engine that does both prefill and decode, 0 to 1.
	MixedPenalty float64
	// The time of a step of a batch is the sum of StepBase, of StepPerSequence for each sequence that decodes a token
	// in it, of StepPerContextToken for each token of their contexts, and of the prefill time of its chunk.
	StepBase            time.Duration
	StepPerSequence     time.Duration
	StepPerContextToken time.Duration
	// MaxBatch is the largest number of sequences in a batch.
	MaxBatch int
	// PrefillChunk and MixedChunk are the prompt tokens per step at prefill engines and at mixed engines.
	PrefillChunk int
	MixedChunk   int
	RoleChange   time.Duration
	// CacheWarmup is how long an engine that starts to prefill takes to fill its prefix cache; 0 if engines keep no
	// prefix cache.
	CacheWarmup time.Duration
	// WeightLoad is how long the weight store takes to deliver the weights for one role change; 0 if a role change
	// keeps the weights.
	WeightLoad time.Duration
}

// Change is a role change that the planner requests now.
type Change struct {
	Engine string
	From   enginecontract.Role
	To     enginecontract.Role
	// Gain is the worth expected over the horizon, after all costs.
	Gain   float64
	Reason string
}

// Decision is the planner's answer: changes to make now and the reason.
type Decision struct {
	Changes []Change
	// Reason says why these changes, or none, were chosen.
	Reason string
}

// Planner decides role changes for one service. Implementations may store earlier observations for forecasts. Losing
// that state may delay a change but must never repeat one.
type Planner interface {
	Plan(Observation) Decision
}
