package relay

import (
	"math"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hazelpitch/hazelpitch/internal/serving"
)

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
	// leastFetch is the least number of tokens that are worth taking from another engine.
	leastFetch = 1_000
	// copyHarm is what each token costs of which another engine takes a copy: the copy drives
	// other parts out of its memory, which then have to be read again.
	copyHarm = 6 * time.Microsecond
	// fetchSetup is what taking them costs beside their way.
	fetchSetup = 12 * time.Millisecond
	// defaultTokenMove is the way of one token where the links are not known.
	defaultTokenMove = 2 * time.Microsecond
	// residualShare is the part of a reading under way that is left on average.
	residualShare = 0.6
	// lateWeight is how much worse it is to be late than to wait.
	lateWeight = 3
	// streamTime is what one running stream of a decoding engine weighs.
	streamTime = 2 * time.Millisecond
	// streamHarm is how much dearer reading at a decoding engine is for each stream that
	// it holds up.
	streamHarm = 0.1
	// decodePiece is how many tokens of a prompt a decoding engine reads in one step, and
	// decodeStep how long a step without reading takes about.
	decodePiece = 512
	decodeStep  = 6 * time.Millisecond
	// pauseHarm is what it costs for each stream that its engine makes late by reading.
	pauseHarm = 15 * time.Millisecond
	// handOverTime is what handing a prompt from one engine to another takes.
	handOverTime = 25 * time.Millisecond
)

// cost weighs a candidate; less is better.
func (r *Relay) cost(wanted choice, candidate *candidate) float64 {
	switch wanted.stage {
	case serving.StagePrefill:
		return prefillCost(wanted, candidate, r.totalWork(wanted.now, candidate), r.pace.of(candidate.backEnd.hash))
	case serving.StageDecode:
		return decodeCost(wanted, candidate, r.totalWork(wanted.now, candidate), r.pace.of(candidate.backEnd.hash))
	default:
		return plainCost(wanted, candidate)
	}
}

// totalWork is the work of all relays at an engine, as far as is known.
func (r *Relay) totalWork(now time.Duration, candidate *candidate) work {
	return r.notices.table.total(now, candidate.backEnd, candidate.load)
}

// plainCost is the number of requests at a back end.
func plainCost(wanted choice, candidate *candidate) float64 {
	cost := float64(max(candidate.load.own.streams, candidate.load.told))
	if candidate.backEnd.Zone != wanted.zone {
		cost += zonePenalty
	}
	return cost
}

// prefillCost is the time until the engine has read this prompt; what it has cached, and
// what it can take from another engine's cache, is left out. Reading weighs double while
// there is time, since it takes an engine from others; being late weighs more than either.
// Each prompt has a home, the same for every relay, which wins among equals. It notes in the
// candidate what it found.
func prefillCost(wanted choice, candidate *candidate, total work, perToken time.Duration) float64 {
	fetching := candidate.planReading(wanted)
	reading := prefillTime(perToken, candidate.effort)
	candidate.waiting = waitingTime(total, readingRank(wanted.rank, candidate.toRead), perToken)
	cost := candidate.waiting + fetching + 2*reading
	if candidate.fetchFrom != nil {
		cost += time.Duration(wanted.held.tokens) * copyHarm
	}
	if late := candidate.waiting + fetching + reading - time.Duration(promptTargetShare*float64(wanted.target)); late > 0 {
		cost += lateWeight * late
	}
	if candidate.backEnd.Zone != wanted.zone {
		cost += zoneTime
	}
	return cost.Seconds() + homeTime.Seconds()*distanceFromHome(wanted.prompt, candidate.backEnd)
}

// planReading notes what the engine has to read itself and where it takes the rest from; it
// returns how long that takes.
func (c *candidate) planReading(wanted choice) time.Duration {
	own := c.backEnd.cache.cached(wanted.prompt, wanted.now)
	c.unusable = own.unusable
	c.leaveToRead(wanted.tokens, own.held)
	fetched := wanted.held.tokens - own.held
	if fetched < leastFetch || wanted.held.engine == c.backEnd {
		return 0
	}
	c.leaveToRead(wanted.tokens, wanted.held.tokens)
	c.fetchFrom = wanted.held.engine
	return fetchSetup + time.Duration(fetched)*wanted.tokenMove
}

// leaveToRead notes what of a prompt's tokens is to be read after those that are held.
func (c *candidate) leaveToRead(tokens, held int) {
	c.toRead = max(tokens-held, 0)
	c.effort = readingEffort(held, c.toRead)
}

// holder is the engine that has most of a prompt's beginning cached.
type holder struct {
	engine *backEnd
	tokens int
}

// holderOf finds the engine of the service that keeps most of the prompt for any request and
// has not failed lately. What it holds does not depend on its stage.
func (r *Relay) holderOf(service string, prompt []promptPart, now time.Duration) holder {
	best := holder{}
	for _, engine := range r.view.Load().byService[service] {
		if engine.look(now).failures > 0 {
			continue
		}
		if tokens := engine.cache.cached(prompt, now).usable; tokens > best.tokens {
			best = holder{engine: engine, tokens: tokens}
		}
	}
	return best
}

// tokenMoveTime is how long the memory of one token is on its way between engines.
func tokenMoveTime(engine *serving.Engine) time.Duration {
	if engine == nil || engine.LinkBytes <= 0 {
		return defaultTokenMove
	}
	return time.Duration(float64(engine.TokenBytes) / engine.LinkBytes * float64(time.Second))
}

// waitingTime is how long a reading of the rank waits at an engine: for what goes before
// it, and for what is left of the reading under way, which is not interrupted.
func waitingTime(total work, rank int, perToken time.Duration) time.Duration {
	before := total.tokensUpTo(rank)
	tokens := float64(before)
	if after := total.promptTokens() - before; after > 0 {
		tokens += residualShare * float64(after) / float64(max(total.prompts, 1))
	}
	return time.Duration(total.prompts)*prefillOverhead + time.Duration(tokens*float64(perToken))
}

// distanceFromHome is in [0, 1): each prompt orders the engines in a way of its own.
func distanceFromHome(prompt []promptPart, engine *backEnd) float64 {
	if len(prompt) < 2 {
		return 0
	}
	shared := prompt[len(prompt)-2].hash
	mixed := xxhash.Sum64String(strconv.FormatUint(uint64(shared)^engine.hash, 16))
	return float64(mixed>>11) / (1 << 53)
}

// decodeCost is the time until a decoding engine begins to generate, with a share for the
// streams that it runs. An engine that has to read the prompt itself takes twice as long
// for it and holds its streams up meanwhile.
func decodeCost(wanted choice, candidate *candidate, total work, perToken time.Duration) float64 {
	perToken *= decodeSlowdown
	candidate.waiting = time.Duration(total.tokensUpTo(wanted.rank)) * perToken
	cost := candidate.waiting + time.Duration(total.streams)*streamTime
	if candidate.backEnd.Zone != wanted.zone {
		cost += zoneTime
	}
	if wanted.tokens > 0 {
		cost += candidate.planReading(wanted)
		harm := 1 + streamHarm*float64(total.streams)
		cost += prefillOverhead + time.Duration(harm*float64(time.Duration(candidate.effort)*perToken))
		if total.promptTokens()+candidate.effort > readingRoom(wanted.gap, wanted.stride, perToken) {
			cost += time.Duration(total.streams) * pauseHarm
		}
	}
	return cost.Seconds()
}

// readingRoom is how many tokens a decoding engine can read at once before the events of its
// streams come more slowly than the gap allows: an event's tokens come one a step, and each
// step reads one piece.
func readingRoom(gap time.Duration, stride int, perToken time.Duration) int {
	piece := decodePiece * perToken
	if gap <= 0 || stride <= 0 || time.Duration(stride)*(piece+decodeStep) <= gap {
		return math.MaxInt
	}
	return max(int((gap-time.Duration(stride)*decodeStep)/piece), 1) * decodePiece
}
