package relay

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hazelpitch/hazelpitch/internal/serving"
)

// choice says what a back end is wanted for.
type choice struct {
	service string
	// stage is StageWhole for services without engines.
	stage serving.Stage
	// zone is preferred: this relay's, or that of the engine that holds the prompt.
	zone string
	// key, when not empty, prefers the engine that has most likely cached what it names.
	key string
	now time.Duration
}

const (
	// zonePenalty is how many more running requests a back end of the preferred zone may
	// have before one of another zone is taken.
	zonePenalty = 1.5
	// affinitySlack is how many more prompt tokens than the least loaded engine one may
	// have to read and still be preferred for what it has cached.
	affinitySlack = 12_000
)

// pick chooses the back end for a request, or nil when none is left. Back ends that failed
// lately are taken only when no other is left.
func (r *Relay) pick(wanted choice, tried *attempts) *backEnd {
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
	if len(candidates) == 0 {
		return nil
	}
	if wanted.key != "" {
		return pickByKey(candidates, wanted.key)
	}
	return pickByLoad(candidates, wanted.zone, r.draw)
}

// candidate is a back end that may be picked, with its load at the moment.
type candidate struct {
	backEnd *backEnd
	load    load
	score   float64
}

// pickByLoad takes the least loaded back end, one of the zone before others; equal ones
// are drawn.
func pickByLoad(candidates []candidate, zone string, draw func() float64) *backEnd {
	best, ties := -1, 0
	for index := range candidates {
		candidate := &candidates[index]
		candidate.score = float64(max(candidate.load.running, candidate.load.told))
		if candidate.backEnd.Zone != zone {
			candidate.score += zonePenalty
		}
		switch {
		case best < 0 || candidate.score < candidates[best].score:
			best, ties = index, 1
		case candidate.score == candidates[best].score:
			ties++
			if draw()*float64(ties) < 1 {
				best = index
			}
		}
	}
	return candidates[best].backEnd
}

// pickByKey takes the first back end in the key's own order that has not much more to read
// than the least loaded one. Every relay has the same order, so that what one has cached
// is found by all without any word between them.
func pickByKey(candidates []candidate, key string) *backEnd {
	least := candidates[0].load.promptTokens
	for index := range candidates {
		candidates[index].score = float64(xxhash.Sum64String(key + "/" + candidates[index].backEnd.ID))
		least = min(least, candidates[index].load.promptTokens)
	}
	slices.SortFunc(candidates, func(a, b candidate) int { return cmp.Compare(b.score, a.score) })
	for _, candidate := range candidates {
		if candidate.load.promptTokens <= least+affinitySlack {
			return candidate.backEnd
		}
	}
	return candidates[0].backEnd
}
