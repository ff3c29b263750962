package gateway

import (
	"errors"
	"io"
	"time"

	"github.com/hazelpitch/hazelpitch/internal/routing"
	"github.com/hazelpitch/hazelpitch/internal/verdict"
)

// cut drops a connection whose stream cannot be used further.
func (c *completion) cut(cause error) {
	c.gateway.log.Info().Err(cause).Str("back_end", c.backEnd.Name).Int("delivered", c.sequence.Delivered()).Msg("stream cut")
	c.answer.Close()
	c.answer, c.scanner = nil, nil
}

// abandon leaves an exchange that cannot be resumed, so that another can begin.
func (c *completion) abandon() {
	c.open = false
	c.excluded = append(c.excluded, c.backEnd.Name)
	c.gateway.dispatcher.observe(routing.Failure{BackEnd: c.backEnd.Name, Exchange: c.exchange})
	c.gateway.cancelLater(c.backEnd, c.exchange)
	c.noteBroken(c.backEnd, endWait)
}

// noteBroken lets the guard find out whether an engine has ended that broke the request off, and waits
// for that.
func (c *completion) noteBroken(engine routing.BackEnd, wait time.Duration) {
	c.held = c.gateway.guard.RecordBrokenRun(c.signature, replicaOf(engine), min(wait, c.deadline-c.gateway.clock.now()))
}

// giveUp ends an open exchange at its engine and returns the refusal with the verdict that
// the engine's answer allows.
func (c *completion) giveUp(fault *refusal) *refusal {
	if !c.open {
		return c.refusal(fault)
	}
	if c.answer != nil {
		c.answer.Close()
		c.answer, c.scanner = nil, nil
	}
	c.open = false
	c.gateway.dispatcher.observe(routing.Completion{BackEnd: c.backEnd.Name, Exchange: c.exchange})
	cancelled := c.gateway.cancel(cancellation{backEnd: c.backEnd, exchange: c.exchange}, cancelTimeout)
	if cancelled == verdict.NotRun && c.tried.total() == 1 && !c.promptSent {
		c.mayHaveRun = false
	}
	return c.refusal(fault)
}

// refusal gives a refusal the verdict of the whole request.
func (c *completion) refusal(fault *refusal) *refusal {
	c.done = true
	return fault.combine(c.mayHaveRun)
}

// finish ends the exchange after a whole answer.
func (c *completion) finish() {
	c.done, c.whole = true, true
	c.gateway.guard.RecordSuccess(c.signature)
	c.open = false
	// The end of the body follows [DONE]; reading it lets the connection be used again.
	if _, err := c.scanner.Next(); errors.Is(err, io.EOF) {
		c.gateway.metrics.connectionsKept.Inc()
	}
	c.answer.Close()
	c.answer, c.scanner = nil, nil
	c.gateway.dispatcher.observe(routing.Completion{
		BackEnd: c.backEnd.Name, Exchange: c.exchange, PromptTokens: c.usage.promptTokens, CachedTokens: c.usage.cachedTokens,
	})
}

// close ends whatever is under way; the caller may have gone in the middle of a stream.
func (c *completion) close() {
	if c.closed {
		return
	}
	c.closed = true
	defer c.release()
	defer c.settle()
	defer c.finishClaim()
	if c.done {
		return
	}
	c.done = true
	if c.answer != nil {
		c.answer.Close()
		c.answer, c.scanner = nil, nil
	}
	if c.open {
		c.open = false
		c.gateway.dispatcher.observe(routing.Completion{BackEnd: c.backEnd.Name, Exchange: c.exchange})
		c.gateway.cancelLater(c.backEnd, c.exchange)
	}
}
