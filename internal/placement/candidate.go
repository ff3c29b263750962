package placement

import (
	"time"

	"github.com/hazelpitch/hazelpitch/internal/serving"
)

// None is used as an engine index where there is no engine.
const None = -1

// Candidate is an engine that may be picked, with the estimated cost of picking it.
type Candidate struct {
	// Index is the engine's index in the list that was passed to the decision.
	Index int
	// FetchFrom is the index of the engine from which this engine fetches the prompt prefix, or None.
	FetchFrom int
	// PrefillTokens is the number of prompt tokens that the engine has to prefill itself. EffectiveTokens is the
	// cost of that prefill, in units of the first token of a prompt.
	PrefillTokens, EffectiveTokens int
	// PendingTokens is the number of the prompt's tokens that the engine is prefilling for other requests.
	// They cannot be used before that prefill has finished.
	PendingTokens int
	// QueueDelay is how long the prefill waits in the engine's queue.
	QueueDelay time.Duration
	// Pause is the forecast for the gap targets of the streams at a decode engine.
	Pause PauseForecast
	// Cost is in seconds for engines, and in running requests for back ends that answer whole requests. The
	// candidate with the lowest cost is picked.
	Cost float64
}

// bestCandidate returns the cheapest candidate among the engines of a stage, or nil. Back ends that failed
// recently are picked only if no other is left. draw returns random numbers in [0, 1) that break ties.
func (p Parameters) bestCandidate(request Request, stage serving.Stage, engines []Engine, draw func() float64) *Candidate {
	healthy := false
	for _, engine := range engines {
		healthy = healthy || engine.isEligible(stage) && request.Now >= engine.AvoidUntil
	}
	source := findKVSource(engines)
	candidates := make([]Candidate, 0, len(engines))
	for index, engine := range engines {
		if !engine.isEligible(stage) || healthy && request.Now < engine.AvoidUntil {
			continue
		}
		candidates = append(candidates, p.evaluate(request, index, engines, source))
	}
	return cheapest(candidates, draw)
}

// isEligible reports whether the engine may be picked for a stage.
func (e Engine) isEligible(stage serving.Stage) bool { return !e.Closed && e.Stage == stage }

// evaluate returns the engine at index as a candidate with its cost. source is the engine from which it may fetch
// the prompt prefix.
func (p Parameters) evaluate(request Request, index int, engines []Engine, source kvSource) Candidate {
	candidate := Candidate{Index: index, FetchFrom: None}
	engine := engines[index]
	switch engine.Stage {
	case serving.StagePrefill:
		p.setPrefillCost(request, &candidate, engine, source)
	case serving.StageDecode:
		p.setDecodeCost(request, &candidate, engine, source)
	default:
		p.setPlainCost(request, &candidate, engine)
	}
	return candidate
}

// cheapest returns the candidate with the lowest cost, or nil. It breaks ties at random.
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
