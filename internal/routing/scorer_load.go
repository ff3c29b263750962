package routing

import "time"

// loadScorer adds the wait behind queued prefills and the slower decoding beside running requests. It uses the
// corrected load: the last report, plus the requests that this gateway has sent since, less those that have
// finished.
type loadScorer struct{}

func (loadScorer) Cost(decision *Decision, candidate *Candidate) time.Duration {
	times, request := &decision.router.config.TokenTimes, decision.Request
	load := candidate.load
	if request.PromptTokens == 0 && request.OutputTokens == 0 {
		return time.Duration(load.requests * float64(times.PageTime))
	}
	var cost time.Duration
	if decision.Stage != StageDecode {
		cost += times.prefillTime(load.prefillTokens)
	}
	if decision.Stage != StagePrefill {
		cost += time.Duration(request.OutputTokens) * (times.tokenInterval(load.requests) - times.TokenInterval)
	}
	return cost
}
