package placement

import (
	"math"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// weighPlain takes the number of requests at a back end as its cost.
func (p Parameters) weighPlain(request Request, candidate *Candidate, engine Engine) {
	candidate.Cost = float64(engine.Running)
	if engine.Zone != request.Zone {
		candidate.Cost += p.ZonePenalty
	}
	if !engine.Connected {
		candidate.Cost += p.ConnectionPenalty
	}
}

// weighPrefill takes as its cost the time until the engine has read this prompt; what it has
// cached, and what it can take from another engine's cache, is left out. Reading weighs double
// while there is time, since it takes an engine from others; being late weighs more than either.
// Each prompt has a home, the same for every relay, which wins among equals.
func (p Parameters) weighPrefill(request Request, candidate *Candidate, engine Engine, held holder) {
	fetching := p.planReading(request, candidate, engine, held)
	reading := PrefillTime(engine.PerToken, candidate.EffectiveTokens)
	candidate.QueueDelay = p.PrefillQueueDelay(engine.Work, p.PrefillRank(request.Rank, candidate.PrefillTokens), engine.PerToken)
	cost := candidate.QueueDelay + fetching + 2*reading
	if candidate.FetchFrom != None {
		cost += time.Duration(held.tokens) * p.TransferEvictionCost
	}
	if late := candidate.QueueDelay + fetching + reading - time.Duration(p.PrefillTargetShare*float64(request.Target)); late > 0 {
		cost += time.Duration(p.LateWeight) * late
	}
	if engine.Zone != request.Zone {
		cost += p.ZoneCost
	}
	candidate.Cost = cost.Seconds() + p.HomePreference.Seconds()*distanceFromHome(request.Prompt, engine.Hash)
}

// planReading notes what the engine has to read itself and where it takes the rest from; it
// returns how long that takes.
func (p Parameters) planReading(request Request, candidate *Candidate, engine Engine, held holder) time.Duration {
	candidate.PendingTokens = engine.Cached.Pending
	candidate.leaveToRead(request.Tokens, engine.Cached.Total)
	fetched := held.tokens - engine.Cached.Total
	if fetched < p.MinTransferTokens || held.index == candidate.Index {
		return 0
	}
	candidate.leaveToRead(request.Tokens, held.tokens)
	candidate.FetchFrom = held.index
	return p.TransferSetup + time.Duration(fetched)*request.TokenTransferTime
}

// leaveToRead notes what of a prompt's tokens is to be read after those that are held.
func (c *Candidate) leaveToRead(tokens, held int) {
	c.PrefillTokens = max(tokens-held, 0)
	c.EffectiveTokens = EffectiveTokens(held, c.PrefillTokens)
}

// LongestPrefixHolder returns the index of the engine that keeps most of the prompt for any request, and how
// many tokens; None when none keeps any.
func LongestPrefixHolder(engines []Engine) (index, tokens int) {
	found := holderOf(engines)
	return found.index, found.tokens
}

// holder is the engine that has most of a prompt's beginning cached.
type holder struct{ index, tokens int }

// holderOf finds the engine that keeps most of the prompt for any request and has not failed
// lately. What it holds does not depend on its stage.
func holderOf(engines []Engine) holder {
	best := holder{index: None}
	for index, engine := range engines {
		if engine.Failures == 0 && engine.Cached.Ready > best.tokens {
			best = holder{index: index, tokens: engine.Cached.Ready}
		}
	}
	return best
}

// PrefillQueueDelay is how long a reading of the rank waits at an engine: for what goes before it,
// and for what is left of the reading under way, which is not interrupted.
func (p Parameters) PrefillQueueDelay(total Work, rank int, perToken time.Duration) time.Duration {
	before := total.TokensUpTo(rank)
	tokens := float64(before)
	if after := total.PromptTokens() - before; after > 0 {
		tokens += p.ResidualShare * float64(after) / float64(max(total.Prefills, 1))
	}
	return time.Duration(total.Prefills)*prefillOverhead + time.Duration(tokens*float64(perToken))
}

// distanceFromHome is in [0, 1): each prompt orders the engines in a way of its own.
func distanceFromHome(prompt []PrefixBlock, engine uint64) float64 {
	if len(prompt) < 2 {
		return 0
	}
	shared := prompt[len(prompt)-2].Hash
	mixed := xxhash.Sum64String(strconv.FormatUint(uint64(shared)^engine, 16))
	return float64(mixed>>11) / (1 << 53)
}

// weighDecode takes as its cost the time until a decoding engine begins to generate, with a
// share for the streams that it runs. An engine that has to read the prompt itself takes longer
// for it and holds its streams up meanwhile.
func (p Parameters) weighDecode(request Request, candidate *Candidate, engine Engine, held holder) {
	perToken := engine.PerToken * time.Duration(p.DecodeSlowdown)
	candidate.QueueDelay = time.Duration(engine.Work.TokensUpTo(request.Rank.First)) * perToken
	cost := candidate.QueueDelay + time.Duration(engine.Work.Streams)*p.StreamCost
	if engine.Zone != request.Zone {
		cost += p.ZoneCost
	}
	if request.Tokens > 0 {
		cost += p.planReading(request, candidate, engine, held)
		harm := 1 + p.StreamSlowdown*float64(engine.Work.Streams)
		cost += prefillOverhead + time.Duration(harm*float64(time.Duration(candidate.EffectiveTokens)*perToken))
		if engine.Work.PromptTokens()+candidate.EffectiveTokens > p.readingRoom(request.Gap, request.Stride, perToken) {
			cost += time.Duration(engine.Work.Streams) * p.StreamPauseCost
		}
	}
	candidate.Cost = cost.Seconds()
}

// readingRoom is how many tokens a decoding engine can read at once before the events of its
// streams come more slowly than the gap allows: an event's tokens come one a step, and each
// step reads one piece.
func (p Parameters) readingRoom(gap time.Duration, stride int, perToken time.Duration) int {
	piece := time.Duration(p.DecodeChunk) * perToken
	if gap <= 0 || stride <= 0 || time.Duration(stride)*(piece+p.DecodeStep) <= gap {
		return math.MaxInt
	}
	return max(int((gap-time.Duration(stride)*p.DecodeStep)/piece), 1) * p.DecodeChunk
}
