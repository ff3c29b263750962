package relay

import (
	"slices"
	"time"

	"github.com/hazelpitch/hazelpitch/internal/serving"
)

// choice says what a back end is wanted for.
type choice struct {
	service string
	// stage is StageWhole for services without engines.
	stage serving.Stage
	// zone is preferred: this relay's, or that of the engine that holds the prompt.
	zone string
	// prompt is what the engine is to read, tokens its length; 0 when another one has read it.
	prompt []promptPart
	tokens int
	// rank is the route's at engines.
	rank int
	// held is where most of the prompt is cached, tokenMove the time to move one token.
	held      holder
	tokenMove time.Duration
	// gap is the longest pause between a stream's events that is in time, stride the tokens
	// of one event.
	gap    time.Duration
	stride int
	// target is the time to the first event that is in time.
	target time.Duration
	now    time.Duration
}

// pick chooses the back end for a request, or nil when none is left.
func (r *Relay) pick(wanted choice, tried *attempts) *backEnd {
	best := r.best(wanted, tried)
	if best == nil {
		return nil
	}
	return best.backEnd
}

// best returns the candidate of least cost, or nil. Back ends that failed lately are taken
// only when no other is left.
func (r *Relay) best(wanted choice, tried *attempts) *candidate {
	view := r.view.Load() // the newest list: a request may wait long between two picks
	candidates := make([]candidate, 0, 16)
	for _, backEnd := range view.byService[wanted.service] {
		if backEnd.Leaving || backEnd.Changing || backEnd.Stage != wanted.stage || tried.isExcluded(backEnd) {
			continue
		}
		candidates = append(candidates, candidate{backEnd: backEnd, load: backEnd.look(wanted.now)})
	}
	healthy := slices.DeleteFunc(slices.Clone(candidates), func(c candidate) bool { return wanted.now < c.load.avoidUntil })
	if len(healthy) > 0 {
		candidates = healthy
	}
	for index := range candidates {
		candidates[index].cost = r.cost(wanted, &candidates[index])
	}
	return cheapest(candidates, r.draw)
}

// candidate is a back end that may be picked, with its load at the moment.
type candidate struct {
	backEnd *backEnd
	load    load
	cost    float64
	// toRead is what a prefill engine has to read itself; fetchFrom is where it takes the
	// rest that it has not cached, nil for nowhere.
	toRead    int
	fetchFrom *backEnd
	// effort is what reading toRead takes, counted in first tokens of a prompt.
	effort int
	// unusable is how much of the prompt the engine is reading for other requests, which
	// cannot be used before those have it.
	unusable int
	// waiting is how long the reading of a prompt waits at the engine.
	waiting time.Duration
}

// cheapest returns the candidate of least cost, or nil; equal ones are drawn.
func cheapest(candidates []candidate, draw func() float64) *candidate {
	var best *candidate
	ties := 0
	for index := range candidates {
		candidate := &candidates[index]
		switch {
		case best == nil || candidate.cost < best.cost:
			best, ties = candidate, 1
		case candidate.cost == best.cost:
			ties++
			if draw()*float64(ties) < 1 {
				best = candidate
			}
		}
	}
	return best
}
