package gateway

import (
	"errors"
	"slices"
	"syscall"
	"time"

	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
	"github.com/hazelpitch/hazelpitch/internal/routing"
	"github.com/hazelpitch/hazelpitch/internal/upstream"
	"github.com/hazelpitch/hazelpitch/internal/verdict"
)

// connect makes the completion's answer readable again: it resumes the current exchange or
// starts another one. It returns a refusal when the request must end.
func (c *completion) connect() *refusal {
	for {
		if fault := c.checkActive(); fault != nil {
			return fault
		}
		if c.mayBeRunning && c.resumes < maximumResumes {
			if c.resume() {
				return nil
			}
			continue
		}
		if c.mayBeRunning && !c.target.kind.Spec.GetRepeatable() && c.gateway.safeguards.IsEnabled(RetryOnlyNotRun) {
			c.reportBrokenRun(c.backEnd, 0)
			return c.giveUp(refuseBackEnd())
		}
		if c.mayBeRunning {
			c.abandonExchange()
		}
		if fault := c.startExchange(); fault != nil {
			return fault
		}
		if c.answer != nil {
			return nil
		}
	}
}

// checkActive returns a refusal when the caller has disconnected or the deadline has passed.
func (c *completion) checkActive() *refusal {
	if fault := c.gateway.checkActive(c.interrupter, c.deadline); fault != nil {
		return c.giveUp(fault)
	}
	return nil
}

// resume requests the rest of the current exchange from its engine. It reports whether the answer is readable.
func (c *completion) resume() bool {
	if c.gateway.dispatcher.isInBackoff(c.backEnd) || !c.acquireResumePermit() {
		c.resumes = maximumResumes // the engine is in backoff, or the leader grants no permit for it
		return false
	}
	if c.resumes > 0 {
		time.Sleep(resumePause)
	}
	c.resumes++
	c.gateway.metrics.resumes.Inc()
	answer, report, failure := c.gateway.upstream.Resume(
		c.backEnd.Address, c.exchange, c.sequence.Delivered(), c.gateway.clock.time(c.deadline), c.interrupter)
	c.gateway.dispatcher.observeReport(c.backEnd.Name, c.exchange, report)
	if failure != nil {
		c.gateway.failureLine(c.backEnd.Name, failure).Msg("resume failed")
		if isExchangeLost(failure) || failure.Verdict == verdict.NotRun && c.hasReplacement() {
			c.resumes = maximumResumes
		}
		return false
	}
	c.startReading(answer)
	return true
}

// acquireResumePermit reports whether a resume may be sent to the exchange's engine. It repeats a permit request that the
// leader does not answer, for leaderSilenceLimit: no other engine can resume the exchange.
func (c *completion) acquireResumePermit() bool {
	limit := min(c.deadline, c.gateway.clock.now()+leaderSilenceLimit)
	for {
		granted, answered := c.gateway.dispatcher.requestPermit(c.backEnd, c.routing.Rank, true)
		if granted || answered || c.interrupter.Interrupted() || c.gateway.clock.now() >= limit {
			return granted
		}
		time.Sleep(resumePause)
	}
}

// isExchangeLost reports whether a failed resume shows that the exchange cannot be resumed: its engine does not know it or
// refuses the resume, or nothing serves at the engine's address. A connection that was not opened in time shows neither.
func isExchangeLost(failure *upstream.Failure) bool {
	if failure.Status == 0 {
		return errors.Is(failure.Cause, syscall.ECONNREFUSED)
	}
	return failure.Code == enginecontract.CodeExchangeUnknown || failure.Verdict == verdict.NotRun
}

// hasReplacement reports whether the request may be sent to another engine, and one can take it.
func (c *completion) hasReplacement() bool {
	if c.isTrial || !c.target.kind.Spec.GetRepeatable() || !c.gateway.couldStartExchange(c.attempts) {
		return false
	}
	request := c.routing
	request.Version, request.WholeOnly = "", c.wholeOnly || c.sequence.Delivered() > 0
	_, err := c.gateway.dispatcher.pickOnce(request, append(slices.Clone(c.excluded), c.backEnd.Name))
	return err == nil
}

// startExchange picks engines and sends the request to them. It returns a refusal when the request must end. When it
// returns nil and c.answer is still nil, another attempt may follow.
func (c *completion) startExchange() *refusal {
	if c.isQuarantined = c.isQuarantined || !c.isTrial && c.gateway.guard.IsQuarantined(c.content); c.isQuarantined {
		return c.refusal(refuseQuarantined(c.gateway.guard.RetryAfter(c.content)))
	}
	if fault := c.gateway.refuseLateStart(); fault != nil {
		return c.refusal(fault)
	}
	if c.isTrial && c.attempts.started > 0 || !c.gateway.mayStartExchange(c.attempts) {
		return c.refusal(c.attempts.refuseExhausted())
	}
	choice, fault := c.pick()
	if fault != nil {
		return c.refusal(fault)
	}
	if c.attempts.total() == 0 {
		c.beganAt = c.gateway.clock.now()
	}
	c.attempts.started++
	if choice.Prefill == nil {
		return c.sendToEngine(&choice, nil)
	}
	cache, fault := c.runPrefill(&choice)
	if fault != nil || cache == nil {
		return fault
	}
	return c.sendToEngine(&choice, cache)
}

// sendToEngine starts an exchange at the engine chosen to decode. cache names the KV cache that a prefill engine
// exported for this exchange; it is nil when the chosen engine runs the prefill itself.
func (c *completion) sendToEngine(choice *routing.Choice, cache *exportedCache) *refusal {
	c.backEnd = choice.BackEnd
	c.exchange = upstream.NewExchange()
	c.sequence.Begin(c.exchange)
	c.resumes = 0
	dispatch := routing.Dispatch{BackEnd: c.backEnd.Name, Exchange: c.exchange}
	if cache == nil {
		dispatch.PromptTokens = max(c.routing.PromptTokens-choice.CachedTokens, 0)
		dispatch.PrefixBlocks = c.routing.PrefixBlocks
		dispatch.CachedAtHome = choice.CachedAtHome
	}
	c.gateway.dispatcher.observe(dispatch)
	message := c.message(c.backEnd.Address, c.exchange, c.deadline)
	if cache != nil {
		message.Headers = append(message.Headers,
			upstream.Header{Name: enginecontract.HeaderKVHandle, Value: cache.handle},
			upstream.Header{Name: enginecontract.HeaderKVSource, Value: cache.source})
	}
	answer, report, failure := c.gateway.upstream.Do(message)
	c.gateway.dispatcher.observeReport(c.backEnd.Name, c.exchange, report)
	if cache != nil {
		c.recordKVTransfer(failure)
	}
	if failure != nil {
		return c.handleFailure(failure)
	}
	c.mayBeRunning = true
	c.mayHaveRun = true
	c.startReading(answer)
	return nil
}

// handleFailure decides how the request continues after an exchange that returned no answer. It returns a refusal only
// when the engine rejected the request itself, so that other engines would too.
func (c *completion) handleFailure(failure *upstream.Failure) *refusal {
	c.gateway.failureLine(c.backEnd.Name, failure).Msg("exchange failed")
	if failure.Verdict != verdict.NotRun {
		c.mayBeRunning = true // the engine may have started it: resume it, or give up
		c.mayHaveRun = true
		return nil
	}
	c.attempts.recordFailure(failure)
	c.overloaded = c.overloaded || failure.Code == enginecontract.CodeOverloaded
	if failure.Code != enginecontract.CodeKVImportFailed {
		c.excluded = append(c.excluded, c.backEnd.Name) // except after a failed KV import, which is not a fault of the engine
	}
	c.gateway.observeFailure(c.backEnd.Name, c.exchange, failure)
	if failure.Code == enginecontract.CodeInvalidRequest {
		return c.refusal(refuseParameters())
	}
	return nil
}

// pick chooses engines and prefers those with the declared model version. A KV cache that was computed by one version is
// never sent to an engine with another version.
func (c *completion) pick() (routing.Choice, *refusal) {
	request := c.routing
	request.WholeOnly = c.wholeOnly || c.sequence.Delivered() > 0
	choice, err := c.gateway.dispatcher.pick(request, c.excluded)
	if errors.Is(err, routing.ErrNoBackEnd) && request.Version != "" {
		request.Version = ""
		choice, err = c.gateway.dispatcher.pick(request, c.excluded)
	}
	if err == nil && choice.Prefill != nil && choice.Prefill.Version != choice.BackEnd.Version {
		request.WholeOnly = true
		choice, err = c.gateway.dispatcher.pick(request, c.excluded)
	}
	if err != nil {
		return routing.Choice{}, refusePick(err)
	}
	return choice, nil
}
