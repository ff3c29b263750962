package routing

import "time"

// loadScorer costs the wait behind queued prompts and the slower output beside
// running requests. It uses the corrected load: the last report, plus what this
// gateway has sent since, less what it has seen finish.
type loadScorer struct{}

func (loadScorer) Cost(decision *Decision, candidate *Candidate) time.Duration {
	times, request := &decision.router.config.TokenTimes, decision.Request
	load := candidate.estimate()
	if request.PromptTokens == 0 && request.OutputTokens == 0 {
		return time.Duration(load.Running+load.Waiting) * times.PageTime
	}
	var cost time.Duration
	if decision.Stage != StageOutput {
		cost += times.promptTime(float64(load.WaitingPromptTokens))
	}
	if decision.Stage != StagePrompt {
		running := float64(load.Running + load.Waiting)
		cost += time.Duration(request.OutputTokens) * (times.interval(running) - times.TokenInterval)
	}
	return cost
}
