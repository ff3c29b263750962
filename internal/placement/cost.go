package placement

import (
	"math"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// setPlainCost sets the cost of a back end that answers whole requests: the number of requests running there, plus
// penalties for another zone and for a missing connection.
func (p Parameters) setPlainCost(request Request, candidate *Candidate, engine Engine) {
	candidate.Cost = float64(engine.Running)
	if engine.Zone != request.Zone {
		candidate.Cost += p.ZonePenalty
	}
	if !engine.Connected {
		candidate.Cost += p.ConnectionPenalty
	}
}

// setPrefillCost sets the cost of a prefill engine: the time until it has prefilled the part of the prompt that
// it neither has cached nor can fetch from another engine's cache. The prefill itself counts twice, since it keeps
// the engine from other requests; the second time at the fleet's average speed if that is given, so that a fast engine is
// not cheaper for a prompt that a slow engine prefills in time. Time beyond the prefill's share of the target weighs more
// than either. Each prompt has a home engine, the same at every relay, which is preferred by up to HomePreference.
func (p Parameters) setPrefillCost(request Request, candidate *Candidate, engine Engine, source kvSource) {
	transfer := p.planPrefill(request, candidate, engine, source)
	prefill := PrefillTime(engine.tokenTime(), candidate.EffectiveTokens)
	candidate.QueueDelay = p.PrefillQueueDelay(engine.Work, p.PrefillRank(request.Rank, candidate.PrefillTokens), engine.tokenTime())
	cost := candidate.QueueDelay + transfer + prefill + p.occupancy(request, engine, candidate.EffectiveTokens)
	if candidate.FetchFrom != None {
		cost += time.Duration(source.tokens) * p.TransferEvictionCost
	}
	if late := candidate.QueueDelay + transfer + prefill - time.Duration(p.PrefillTargetShare*float64(request.Target)); late > 0 {
		cost += time.Duration(p.LateWeight) * late
	}
	if engine.Zone != request.Zone {
		cost += p.ZoneCost
	}
	candidate.Cost = cost.Seconds() + p.HomePreference.Seconds()*homeDistance(request.Prompt, engine.Hash)
}

// occupancy returns the cost of a prefill to the other requests of the engine.
func (p Parameters) occupancy(request Request, engine Engine, effectiveTokens int) time.Duration {
	perToken := engine.tokenTime()
	if request.FleetPerToken > 0 && p.OccupancyByFleet {
		perToken = scale(request.FleetPerToken, engine.slowdown())
	}
	return PrefillTime(perToken, effectiveTokens)
}

// planPrefill sets the tokens that the engine prefills itself and the engine from which it fetches the others.
// It returns the time of that KV transfer, or 0 if the engine fetches none.
func (p Parameters) planPrefill(request Request, candidate *Candidate, engine Engine, source kvSource) time.Duration {
	candidate.PendingTokens = engine.Cached.Pending
	candidate.setPrefillTokens(request.Tokens, engine.Cached.Total)
	transferred := source.tokens - engine.Cached.Total
	if transferred < p.MinTransferTokens || source.index == candidate.Index {
		return 0
	}
	candidate.setPrefillTokens(request.Tokens, source.tokens)
	candidate.FetchFrom = source.index
	return p.TransferSetup + time.Duration(transferred)*request.TokenTransferTime
}

// setPrefillTokens sets the tokens to prefill for a prompt of which some tokens are cached.
func (c *Candidate) setPrefillTokens(tokens, cached int) {
	c.PrefillTokens = max(tokens-cached, 0)
	c.EffectiveTokens = EffectiveTokens(cached, c.PrefillTokens)
}

// LongestPrefixHolder returns the index of the engine with the longest ready prefix of the prompt, among those that
// have not failed recently, and the length of that prefix in tokens; None and 0 if no engine has any.
func LongestPrefixHolder(engines []Engine) (index, tokens int) {
	source := findKVSource(engines)
	return source.index, source.tokens
}

// kvSource is the engine from which others can fetch the prompt prefix.
type kvSource struct{ index, tokens int }

// findKVSource returns the engine with the longest ready prefix among those that have not failed recently. The
// engine's stage does not matter.
func findKVSource(engines []Engine) kvSource {
	best := kvSource{index: None}
	for index, engine := range engines {
		if engine.Failures == 0 && engine.Cached.Ready > best.tokens {
			best = kvSource{index: index, tokens: engine.Cached.Ready}
		}
	}
	return best
}

// PrefillQueueDelay returns how long a prefill of the given rank waits at an engine: for the prefills ahead of it
// and for the rest of the running one, which is not preempted.
func (p Parameters) PrefillQueueDelay(queued Work, rank int, perToken time.Duration) time.Duration {
	before := queued.TokensUpTo(rank)
	tokens := float64(before)
	if after := queued.PromptTokens() - before; after > 0 {
		tokens += p.ResidualShare * float64(after) / float64(max(queued.Prefills, 1))
	}
	return time.Duration(queued.Prefills)*prefillOverhead + time.Duration(tokens*float64(perToken))
}

// homeDistance returns the distance, in [0, 1), of an engine from a prompt. Each prompt orders the engines differently;
// the nearest one is its home. For a prompt without shared blocks the distance is 0 at every engine.
func homeDistance(prompt []PrefixBlock, engine uint64) float64 {
	if len(prompt) < 2 {
		return 0
	}
	shared := prompt[len(prompt)-2].Hash
	mixed := xxhash.Sum64String(strconv.FormatUint(uint64(shared)^engine, 16))
	return float64(mixed>>11) / (1 << 53)
}

// setDecodeCost sets the cost of a decode engine: the time until it starts to generate, plus a share for each
// running stream. An engine that has to prefill the prompt itself takes longer and delays its streams meanwhile.
func (p Parameters) setDecodeCost(request Request, candidate *Candidate, engine Engine, source kvSource) {
	perToken := engine.tokenTime() * time.Duration(p.DecodeSlowdown)
	candidate.QueueDelay = time.Duration(engine.Work.TokensUpTo(request.Rank.First)) * perToken
	cost := candidate.QueueDelay + time.Duration(engine.Work.Streams)*p.StreamCost
	if engine.Zone != request.Zone {
		cost += p.ZoneCost
	}
	if request.Tokens > 0 {
		cost += p.planPrefill(request, candidate, engine, source)
		slowdown := 1 + p.StreamSlowdown*float64(engine.Work.Streams)
		cost += prefillOverhead + time.Duration(slowdown*float64(time.Duration(candidate.EffectiveTokens)*perToken))
	}
	pauseCost, predicted := p.setPauseCost(request, candidate, engine, candidate.EffectiveTokens)
	cost += pauseCost
	if !predicted && request.Tokens > 0 && engine.Work.PromptTokens()+candidate.EffectiveTokens > p.prefillBudget(request.Gap, request.Stride, perToken) {
		cost += time.Duration(engine.Work.Streams) * p.StreamPauseCost
	}
	candidate.Cost = cost.Seconds()
}

// prefillBudget returns how many tokens a decode engine can prefill at once before the gap between the events of
// its streams exceeds its target: an event takes one step per token, and each step prefills one chunk. gap is that
// target and stride the number of tokens per event.
func (p Parameters) prefillBudget(gap time.Duration, stride int, perToken time.Duration) int {
	chunk := time.Duration(p.DecodeChunk) * perToken
	if gap <= 0 || stride <= 0 || time.Duration(stride)*(chunk+p.DecodeStep) <= gap {
		return math.MaxInt
	}
	return max(int((gap-time.Duration(stride)*p.DecodeStep)/chunk), 1) * p.DecodeChunk
}
