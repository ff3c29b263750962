package routing

import "time"

// cacheValue is what a cached prompt token is worth in tokens that need not be read:
// itself, and one that would have been dropped from a cache to make room.
const cacheValue = 1.5

// prefixScorer credits the prompt time saved by tokens expected in the candidate's
// prefix cache.
type prefixScorer struct{}

func (prefixScorer) Cost(decision *Decision, candidate *Candidate) time.Duration {
	if decision.Stage == StageDecode {
		return 0
	}
	saved, _ := decision.cachedTokens(candidate)
	return -decision.router.config.TokenTimes.promptTime(saved * cacheValue)
}
