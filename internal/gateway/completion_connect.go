package gateway

import (
	"errors"
	"time"

	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
	"github.com/hazelpitch/hazelpitch/internal/routing"
	"github.com/hazelpitch/hazelpitch/internal/upstream"
	"github.com/hazelpitch/hazelpitch/internal/verdict"
)

// connect makes the completion's answer readable again: by resuming the exchange under
// way, or by beginning another.
func (c *completion) connect() *refusal {
	for {
		if fault := c.checkLimits(); fault != nil {
			return fault
		}
		if c.open && c.resumes < maximumResumes {
			if c.resume() {
				return nil
			}
			continue
		}
		if c.open && !c.target.kind.Spec.GetRepeatable() && c.gateway.safeguards.IsEnabled(RetryOnlyNotRun) {
			c.noteBroken(c.backEnd, 0)
			return c.giveUp(refuseBackEnd())
		}
		if c.open {
			c.abandon()
		}
		if fault := c.begin(); fault != nil {
			return fault
		}
		if c.answer != nil {
			return nil
		}
	}
}

// checkLimits refuses when the caller is gone or the deadline has passed.
func (c *completion) checkLimits() *refusal {
	if fault := c.gateway.over(c.interrupter, c.deadline); fault != nil {
		return c.giveUp(fault)
	}
	return nil
}

// resume asks the engine for what is left of the exchange under way.
func (c *completion) resume() bool {
	if c.gateway.dispatcher.rests(c.backEnd) || !c.gateway.dispatcher.mayCall(c.backEnd, c.routing.Rank, true) {
		c.resumes = maximumResumes // the engine has asked to be left alone, or its limit leaves no room
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
		if failure.Code == enginecontract.CodeExchangeUnknown || failure.Verdict == verdict.NotRun {
			c.resumes = maximumResumes // the engine does not have it, or does not take connections
		}
		return false
	}
	c.read(answer)
	return true
}

// begin picks engines and sends the request there. Without a refusal and without an
// answer the caller tries again.
func (c *completion) begin() *refusal {
	if c.held = c.held || !c.trial && c.gateway.guard.IsQuarantined(c.signature); c.held {
		return c.refusal(refuseHeld())
	}
	if c.trial && c.tried.begun > 0 || !c.gateway.mayBegin(c.tried) {
		return c.refusal(refuseBackEnd())
	}
	choice, fault := c.pick()
	if fault != nil {
		return c.refusal(fault)
	}
	if c.tried.total() == 0 {
		c.beganAt = c.gateway.clock.now()
	}
	c.tried.begun++
	if choice.Prefill == nil {
		return c.send(&choice, nil)
	}
	cache, fault := c.readPrompt(&choice)
	if fault != nil || cache == nil {
		return fault
	}
	return c.send(&choice, cache)
}

// send begins an exchange at the engine that writes the output, with the KV cache that a
// prefill engine keeps for it when there is one.
func (c *completion) send(choice *routing.Choice, cache *exportedCache) *refusal {
	c.backEnd = choice.BackEnd
	c.exchange = upstream.NewExchange()
	c.sequence.Begin(c.exchange)
	c.resumes = 0
	sent := routing.Dispatch{BackEnd: c.backEnd.Name, Exchange: c.exchange}
	if cache == nil {
		sent.PromptTokens = max(c.routing.PromptTokens-choice.CachedTokens, 0)
		sent.PrefixBlocks = c.routing.PrefixBlocks
		sent.CachedAtHome = choice.CachedAtHome
	}
	c.gateway.dispatcher.observe(sent)
	message := c.message(c.backEnd.Address, c.exchange, c.deadline)
	if cache != nil {
		message.Headers = append(message.Headers,
			upstream.Header{Name: enginecontract.HeaderKVHandle, Value: cache.handle},
			upstream.Header{Name: enginecontract.HeaderKVSource, Value: cache.source})
	}
	answer, report, failure := c.gateway.upstream.Do(message)
	c.gateway.dispatcher.observeReport(c.backEnd.Name, c.exchange, report)
	if cache != nil {
		c.noteImport(failure)
	}
	if failure != nil {
		return c.failed(failure)
	}
	c.open = true
	c.mayHaveRun = true
	c.read(answer)
	return nil
}

// failed decides after an exchange that brought no answer.
func (c *completion) failed(failure *upstream.Failure) *refusal {
	c.gateway.log.Info().Err(failure).Str("back_end", c.backEnd.Name).Msg("exchange failed")
	if failure.Verdict != verdict.NotRun {
		c.open = true // it may be running: resume it, or give up
		c.mayHaveRun = true
		return nil
	}
	c.tried.note(failure)
	c.overloaded = c.overloaded || failure.Code == enginecontract.CodeOverloaded
	if failure.Code != enginecontract.CodeKVImportFailed {
		c.excluded = append(c.excluded, c.backEnd.Name) // a failed import says nothing against the engine
	}
	if failure.Status == 0 {
		c.gateway.dispatcher.observe(routing.Failure{BackEnd: c.backEnd.Name, Exchange: c.exchange})
		return nil
	}
	c.gateway.dispatcher.observe(routing.Completion{BackEnd: c.backEnd.Name, Exchange: c.exchange})
	if failure.Code == enginecontract.CodeInvalidRequest {
		return c.refusal(refuseParameters())
	}
	return nil
}

// pick chooses engines; those with the version in force go first. A prompt read under one
// version is never handed to another.
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
