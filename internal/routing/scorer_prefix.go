package routing

import "time"

// prefixScorer credits the prompt time saved by tokens expected in the candidate's
// prefix cache.
type prefixScorer struct{}

func (prefixScorer) Cost(decision *Decision, candidate *Candidate) time.Duration {
	if decision.Stage == StageOutput {
		return 0
	}
	saved := decision.cachedTokens(candidate)
	return -decision.router.config.TokenTimes.promptTime(saved)
}
