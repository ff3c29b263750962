package routing

import "time"

// loadScorer costs the wait behind unread prompts and the slower output beside
// running requests. It uses the corrected load: the last report, plus what this
// gateway has sent since, less what it has seen finish.
type loadScorer struct{}

func (loadScorer) Cost(decision *Decision, candidate *Candidate) time.Duration {
	times, request := &decision.router.config.TokenTimes, decision.Request
	load := candidate.load
	if request.PromptTokens == 0 && request.OutputTokens == 0 {
		return time.Duration(load.requests * float64(times.PageTime))
	}
	var cost time.Duration
	if decision.Stage != StageDecode {
		cost += times.promptTime(load.unreadTokens)
	}
	if decision.Stage != StagePrefill {
		cost += time.Duration(request.OutputTokens) * (times.interval(load.requests) - times.TokenInterval)
	}
	return cost
}
