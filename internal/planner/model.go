package planner

import (
	"cmp"
	"slices"
	"time"
)

// KindDemand is what one kind of request asks of a service.
type KindDemand struct {
	Kind              string
	ArrivalsPerSecond float64
	// PromptTokens that must be read, without those found in prefix caches, and
	// OutputTokens of one request.
	PromptTokens float64
	OutputTokens float64
	// ContextTokens is what one sequence holds on average while it writes.
	ContextTokens float64
	// Worth of one request completed within Deadline; a Deadline of 0 is none.
	Worth    float64
	Deadline time.Duration
}

// density is the worth of a request for each token of work, by which admission lets
// requests start.
func (d KindDemand) density() float64 {
	return d.Worth / max(d.PromptTokens+outputWeight*d.OutputTokens, 1)
}

// outputWeight is the work of one output token in prompt tokens, as admission counts it.
const outputWeight = 8

// Shares of the pools' capacity that requests attain, and the least prompt
// tokens that a reader's step holds on average: arrivals vary, and short prompts fill
// no chunk.
// TestModelAgreesWithTheEmulator in package experiment shows how well they fit.
const (
	usablePair  = 0.95
	usableMixed = 0.87
	leastChunk  = 800
	// hybridShare is what is left of all capacity where mixed engines stand beside
	// pairs: routing then balances requests of unlike speeds.
	hybridShare = 0.8
)

// Model estimates the worth that a split of engines completes each second. It is a
// fluid model: each request takes engine-seconds of the pools it passes through, what
// exceeds a pool's capacity is shed by worth per token, and nothing waits.
type Model struct{ profile EngineProfile }

// NewModel returns the model of a service whose engines have the profile.
func NewModel(profile EngineProfile) Model { return Model{profile: profile} }

// usage is the engine-seconds of one request in each pool that may serve it.
type usage struct {
	prefill float64
	decode  float64
	mixed   float64
}

// usageOf derives engine-seconds from the token times of full batches.
func (m Model) usageOf(kind KindDemand) usage {
	p := m.profile
	step := seconds(p.StepBase)
	perToken := seconds(p.StepPerSequence) + kind.ContextTokens*seconds(p.StepPerContextToken)
	reading := kind.PromptTokens / p.PrefillTokensPerSecond
	writing := kind.OutputTokens * perToken
	steps := func(chunk int) float64 { return kind.PromptTokens / float64(chunk) }
	batch := kind.OutputTokens / float64(p.MaxBatch)
	return usage{
		prefill: reading + step*steps(min(p.PrefillChunk, max(leastChunk, int(kind.PromptTokens)))),
		decode:  writing + step*batch,
		mixed:   reading + writing + step*max(steps(p.MixedChunk), batch),
	}
}

// Goodput returns the worth per second that a split completes under a demand.
func (m Model) Goodput(split Split, demands []KindDemand) float64 {
	left := m.capacity(split)
	total := 0.0
	for _, kind := range byDensity(demands) {
		total += kind.Worth * left.serve(kind.ArrivalsPerSecond, m.usageOf(kind))
	}
	return total
}

// capacity is the engine-seconds per second that the pools of a split attain.
func (m Model) capacity(split Split) usage {
	share := 1.0
	if split.Mixed > 0 && split.Prefill > 0 && split.Decode > 0 {
		share = hybridShare
	}
	return usage{
		prefill: share * usablePair * float64(split.Prefill),
		decode:  share * usablePair * float64(split.Decode),
		mixed:   share * usableMixed * float64(split.Mixed),
	}
}

// byDensity orders demands as admission would start them.
func byDensity(demands []KindDemand) []KindDemand {
	ordered := slices.Clone(demands)
	slices.SortStableFunc(ordered, func(a, b KindDemand) int {
		return cmp.Or(cmp.Compare(b.density(), a.density()), cmp.Compare(a.Kind, b.Kind))
	})
	return ordered
}

// serve takes what a rate of requests uses out of the capacity that is left, pairs of
// engines first, and returns the rate that is served.
func (u *usage) serve(rate float64, each usage) float64 {
	pairs := rate
	if each.prefill > 0 {
		pairs = min(pairs, u.prefill/each.prefill)
	}
	if each.decode > 0 {
		pairs = min(pairs, u.decode/each.decode)
	}
	pairs = max(pairs, 0)
	u.prefill -= pairs * each.prefill
	u.decode -= pairs * each.decode
	whole := rate - pairs
	if each.mixed > 0 {
		whole = min(whole, u.mixed/each.mixed)
	}
	whole = max(whole, 0)
	u.mixed -= whole * each.mixed
	return pairs + whole
}

// HeadroomBonus is a small preference, far below the worth of one request a second, for
// splits whose fullest pool is less full.
func (m Model) HeadroomBonus(split Split, demands []KindDemand) float64 {
	var need usage
	arriving := 0.0
	for _, kind := range demands {
		each := m.usageOf(kind)
		need.prefill += kind.ArrivalsPerSecond * each.prefill
		need.decode += kind.ArrivalsPerSecond * each.decode
		need.mixed += kind.ArrivalsPerSecond * each.mixed
		arriving += kind.ArrivalsPerSecond * kind.Worth
	}
	capacity := m.capacity(split)
	whole := 0.0 // the part of the demand that mixed engines can take
	if need.mixed > 0 {
		whole = min(capacity.mixed/need.mixed, 1)
	}
	fullest := max(fullness(need.prefill*(1-whole), capacity.prefill), fullness(need.decode*(1-whole), capacity.decode))
	return marginShare * arriving * (1 - fullest)
}

// marginShare is the preference for an idle fleet as a share of the arriving worth.
const marginShare = 0.01

// fullness is the utilisation of a pool, at most 1.
func fullness(need, capacity float64) float64 {
	switch {
	case need <= 0:
		return 0
	case capacity <= need:
		return 1
	}
	return need / capacity
}
