package routing

import "time"

// workScorer adds the time of the request itself at an idle back end.
type workScorer struct{}

func (workScorer) Cost(decision *Decision, _ *Candidate) time.Duration {
	times, request := &decision.router.config.TokenTimes, decision.Request
	if request.PromptTokens == 0 && request.OutputTokens == 0 {
		return times.PageTime
	}
	var cost time.Duration
	if decision.Stage != StageDecode {
		cost += times.prefillTime(float64(request.PromptTokens))
	}
	if decision.Stage != StagePrefill {
		cost += time.Duration(request.OutputTokens) * times.TokenInterval
	}
	return cost
}
