package routing

import "time"

// cachedTokenValue is the number of prefilled tokens that a cached prompt token saves: itself, and one that would
// have been evicted from a cache to make room.
const cachedTokenValue = 1.5

// prefixScorer subtracts the prefill time saved by tokens expected in the candidate's prefix cache.
type prefixScorer struct{}

func (prefixScorer) Cost(decision *Decision, candidate *Candidate) time.Duration {
	if decision.Stage == StageDecode {
		return 0
	}
	saved, _ := decision.cachedTokens(candidate)
	return -decision.router.config.TokenTimes.prefillTime(saved * cachedTokenValue)
}
