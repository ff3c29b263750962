package placement

import (
	"time"

	"github.com/hazelpitch/hazelpitch/internal/serving"
)

// None is the index of no engine.
const None = -1

// Candidate is an engine that may be picked, with what picking it means.
type Candidate struct {
	// Index is the engine's among those that the decision was given.
	Index int
	// FetchFrom is the index of the engine from which it takes the beginning of the prompt, or
	// None.
	FetchFrom int
	// PrefillTokens is how many tokens it has to read itself, EffectiveTokens what that takes, counted in first
	// tokens of a prompt.
	PrefillTokens, EffectiveTokens int
	// PendingTokens is how much of the prompt the engine is reading for other requests, which cannot
	// be used before those have it.
	PendingTokens int
	// QueueDelay is how long the reading waits at the engine.
	QueueDelay time.Duration
	// Cost is in seconds; less is better.
	Cost float64
}

// best returns the candidate of least cost among the engines of a stage, or nil. Back ends that
// failed lately are taken only when no other is left.
func (p Parameters) best(request Request, stage serving.Stage, engines []Engine, draw func() float64) *Candidate {
	healthy := false
	for _, engine := range engines {
		healthy = healthy || engine.isOpen(stage) && request.Now >= engine.AvoidUntil
	}
	held := holderOf(engines)
	candidates := make([]Candidate, 0, len(engines))
	for index, engine := range engines {
		if !engine.isOpen(stage) || healthy && request.Now < engine.AvoidUntil {
			continue
		}
		candidates = append(candidates, p.weigh(request, index, engines, held))
	}
	return cheapest(candidates, draw)
}

// isOpen reports whether the engine may be picked for a stage.
func (e Engine) isOpen(stage serving.Stage) bool { return !e.Closed && e.Stage == stage }

// weigh returns the candidate with its cost.
func (p Parameters) weigh(request Request, index int, engines []Engine, held holder) Candidate {
	candidate := Candidate{Index: index, FetchFrom: None}
	engine := engines[index]
	switch engine.Stage {
	case serving.StagePrefill:
		p.weighPrefill(request, &candidate, engine, held)
	case serving.StageDecode:
		p.weighDecode(request, &candidate, engine, held)
	default:
		p.weighPlain(request, &candidate, engine)
	}
	return candidate
}

// cheapest returns the candidate of least cost, or nil; equal ones are drawn.
func cheapest(candidates []Candidate, draw func() float64) *Candidate {
	var best *Candidate
	ties := 0
	for index := range candidates {
		candidate := &candidates[index]
		switch {
		case best == nil || candidate.Cost < best.Cost:
			best, ties = candidate, 1
		case candidate.Cost == best.Cost:
			ties++
			if draw()*float64(ties) < 1 {
				best = candidate
			}
		}
	}
	return best
}
