package planner

import (
	"cmp"
	"slices"
	"time"
)

// KindDemand is the demand of one kind of request at a service.
type KindDemand struct {
	Kind              string
	ArrivalsPerSecond float64
	// PromptTokens that are prefilled, without those found in prefix caches, and OutputTokens per request.
	PromptTokens float64
	OutputTokens float64
	// ContextTokens is the mean length of a sequence while it is decoded.
	ContextTokens float64
	// Worth of one request completed within Deadline; 0 means no deadline.
	Worth    float64
	Deadline time.Duration
}

// density returns the worth of a request per token of work, by which admission orders requests.
func (d KindDemand) density() float64 {
	return d.Worth / max(d.PromptTokens+outputWeight*d.OutputTokens, 1)
}

// outputWeight is the work of one output token in prompt tokens, as in admission.
const outputWeight = 8

// Shares of a pool's capacity that requests attain, since arrivals vary, and the smallest mean number of prompt tokens
// in a step of a prefill engine, since short prompts do not fill a chunk. TestModelAgreesWithTheEmulator in package
// experiment compares the model with the engine emulator.
const (
	usablePairShare  = 0.95
	usableMixedShare = 0.87
	minChunk         = 800
	// hybridShare is the share of all capacity that remains if mixed engines run beside pairs: routing then
	// balances requests of different speeds.
	hybridShare = 0.8
)

// Model estimates the worth per second that a split of engines completes. It is a fluid model: each request takes
// engine-seconds of the pools it passes through, demand beyond a pool's capacity is shed by worth per token, and
// there is no queueing.
type Model struct{ profile EngineProfile }

// NewModel returns the model of a service whose engines have the profile.
func NewModel(profile EngineProfile) Model { return Model{profile: profile} }

// usage is the engine-seconds that one request takes in each pool that may serve it.
type usage struct {
	prefill float64
	decode  float64
	mixed   float64
}

// usageOf returns the engine-seconds of one request of a kind, from the token times of full batches.
func (m Model) usageOf(kind KindDemand) usage {
	p := m.profile
	step := seconds(p.StepBase)
	perToken := seconds(p.StepPerSequence) + kind.ContextTokens*seconds(p.StepPerContextToken)
	prefillTime := kind.PromptTokens / p.PrefillTokensPerSecond
	decodeTime := kind.OutputTokens * perToken
	steps := func(chunk int) float64 { return kind.PromptTokens / float64(chunk) }
	batch := kind.OutputTokens / float64(p.MaxBatch)
	return usage{
		prefill: prefillTime + step*steps(min(p.PrefillChunk, max(minChunk, int(kind.PromptTokens)))),
		decode:  decodeTime + step*batch,
		mixed:   prefillTime + decodeTime + step*max(steps(p.MixedChunk), batch),
	}
}

// Goodput returns the worth per second that a split completes under a demand.
func (m Model) Goodput(split Split, demands []KindDemand) float64 {
	remaining := m.capacity(split)
	total := 0.0
	for _, kind := range byDensity(demands) {
		total += kind.Worth * remaining.serve(kind.ArrivalsPerSecond, m.usageOf(kind))
	}
	return total
}

// capacity returns the engine-seconds per second that requests can use in the pools of a split.
func (m Model) capacity(split Split) usage {
	share := 1.0
	if split.Mixed > 0 && split.Prefill > 0 && split.Decode > 0 {
		share = hybridShare
	}
	return usage{
		prefill: share * usablePairShare * float64(split.Prefill),
		decode:  share * usablePairShare * float64(split.Decode),
		mixed:   share * usableMixedShare * float64(split.Mixed),
	}
}

// byDensity returns the demands in the order in which admission starts them.
func byDensity(demands []KindDemand) []KindDemand {
	ordered := slices.Clone(demands)
	slices.SortStableFunc(ordered, func(a, b KindDemand) int {
		return cmp.Or(cmp.Compare(b.density(), a.density()), cmp.Compare(a.Kind, b.Kind))
	})
	return ordered
}

// serve subtracts the usage of a rate of requests from the remaining capacity, pairs of engines first, and returns the
// rate that is served.
func (u *usage) serve(rate float64, perRequest usage) float64 {
	pairs := rate
	if perRequest.prefill > 0 {
		pairs = min(pairs, u.prefill/perRequest.prefill)
	}
	if perRequest.decode > 0 {
		pairs = min(pairs, u.decode/perRequest.decode)
	}
	pairs = max(pairs, 0)
	u.prefill -= pairs * perRequest.prefill
	u.decode -= pairs * perRequest.decode
	mixed := rate - pairs
	if perRequest.mixed > 0 {
		mixed = min(mixed, u.mixed/perRequest.mixed)
	}
	mixed = max(mixed, 0)
	u.mixed -= mixed * perRequest.mixed
	return pairs + mixed
}

// HeadroomBonus returns a small preference, far below the worth of one request per second, for splits with a lower
// utilisation of their fullest pool.
func (m Model) HeadroomBonus(split Split, demands []KindDemand) float64 {
	var need usage
	arriving := 0.0
	for _, kind := range demands {
		perRequest := m.usageOf(kind)
		need.prefill += kind.ArrivalsPerSecond * perRequest.prefill
		need.decode += kind.ArrivalsPerSecond * perRequest.decode
		need.mixed += kind.ArrivalsPerSecond * perRequest.mixed
		arriving += kind.ArrivalsPerSecond * kind.Worth
	}
	capacity := m.capacity(split)
	mixedShare := 0.0 // the share of the demand that mixed engines can serve
	if need.mixed > 0 {
		mixedShare = min(capacity.mixed/need.mixed, 1)
	}
	maxUtilisation := max(utilisation(need.prefill*(1-mixedShare), capacity.prefill), utilisation(need.decode*(1-mixedShare), capacity.decode))
	return headroomShare * arriving * (1 - maxUtilisation)
}

// headroomShare is the preference for an idle fleet as a share of the arriving worth.
const headroomShare = 0.01

// utilisation returns the utilisation of a pool, at most 1.
func utilisation(need, capacity float64) float64 {
	switch {
	case need <= 0:
		return 0
	case capacity <= need:
		return 1
	}
	return need / capacity
}
