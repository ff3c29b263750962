package relay

import (
	"slices"
	"strconv"
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
	// prompt is what a prefill engine is to read, tokens its length.
	prompt []promptPrefix
	tokens int
	// rank is the route's at engines.
	rank int
	// target is the time to the first event that is in time.
	target time.Duration
	now    time.Duration
}

const (
	// zonePenalty is how many more running requests a back end of the preferred zone may
	// have before one of another zone is taken.
	zonePenalty = 1.5
	// zoneTime is the cost of reading a prompt in another zone.
	zoneTime = 4 * time.Millisecond
	// homeTime is the most by which a prompt's home engine is preferred to others.
	homeTime = 15 * time.Millisecond
	// promptTargetShare is the part of a route's target that the reading of a prompt may take.
	promptTargetShare = 0.8
	// lateWeight is how much worse it is to be late than to wait.
	lateWeight = 3
	// streamTokens weighs one running stream of a decoding engine against prompt tokens
	// that it still has to read.
	streamTokens = 100
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
}

// cost weighs a candidate; less is better.
func (r *Relay) cost(wanted choice, candidate *candidate) float64 {
	switch wanted.stage {
	case serving.StagePrefill:
		return prefillCost(wanted, candidate, r.totalWork(wanted.now, candidate), r.pace.of(candidate.backEnd.hash))
	case serving.StageDecode:
		return decodeCost(wanted, candidate, r.totalWork(wanted.now, candidate))
	default:
		return plainCost(wanted, candidate)
	}
}

// totalWork is the work of all relays at an engine, as far as is known.
func (r *Relay) totalWork(now time.Duration, candidate *candidate) work {
	return candidate.load.own.plus(r.notices.table.others(now, candidate.backEnd.hash))
}

// plainCost is the number of requests at a back end.
func plainCost(wanted choice, candidate *candidate) float64 {
	cost := float64(max(candidate.load.own.streams, candidate.load.told))
	if candidate.backEnd.Zone != wanted.zone {
		cost += zonePenalty
	}
	return cost
}

// prefillCost is the time until the engine has read this prompt, what it has cached left
// out. Reading weighs double while there is time, since it takes an engine from others and
// fills its cache with what another one holds; being late weighs more than either. Each
// prompt has a home, the same for every relay, which wins among equals.
func prefillCost(wanted choice, candidate *candidate, total work, perToken time.Duration) float64 {
	toRead := max(wanted.tokens-candidate.backEnd.cache.cached(wanted.prompt), 0)
	reading := prefillTime(perToken, toRead)
	waiting := time.Duration(total.prompts)*prefillOverhead + time.Duration(total.tokensUpTo(readingRank(wanted.rank, toRead)))*perToken
	cost := waiting + 2*reading
	if late := waiting + reading - time.Duration(promptTargetShare*float64(wanted.target)); late > 0 {
		cost += lateWeight * late
	}
	if candidate.backEnd.Zone != wanted.zone {
		cost += zoneTime
	}
	return cost.Seconds() + homeTime.Seconds()*distanceFromHome(wanted.prompt, candidate.backEnd)
}

// distanceFromHome is in [0, 1): each prompt orders the engines in a way of its own.
func distanceFromHome(prompt []promptPrefix, engine *backEnd) float64 {
	if len(prompt) < 2 {
		return 0
	}
	shared := prompt[len(prompt)-2].hash
	mixed := xxhash.Sum64String(strconv.FormatUint(uint64(shared)^engine.hash, 16))
	return float64(mixed>>11) / (1 << 53)
}

// decodeCost weighs the streams at an engine and the prompts that it still has to read.
func decodeCost(wanted choice, candidate *candidate, total work) float64 {
	cost := float64(total.promptTokens() + total.streams*streamTokens)
	if candidate.backEnd.Zone != wanted.zone {
		cost += zonePenalty * streamTokens
	}
	return cost
}

// cheapest returns the back end of least cost; equal ones are drawn.
func cheapest(candidates []candidate, draw func() float64) *backEnd {
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
	if best == nil {
		return nil
	}
	return best.backEnd
}
