package gateway

import (
	"errors"
	"io"
	"time"

	"github.com/hazelpitch/hazelpitch/internal/routing"
	"github.com/hazelpitch/hazelpitch/internal/verdict"
)

// cutStream closes a connection whose stream cannot be used any longer.
func (c *completion) cutStream(cause error) {
	c.gateway.failureLine(c.backEnd.Name, cause).Int("delivered", c.sequence.Delivered()).Msg("stream cut")
	c.answer.Close()
	c.answer, c.scanner = nil, nil
}

// abandonExchange gives up an exchange that cannot be resumed, so that another one can start.
func (c *completion) abandonExchange() {
	c.mayBeRunning = false
	c.excluded = append(c.excluded, c.backEnd.Name)
	c.gateway.dispatcher.observe(routing.Failure{BackEnd: c.backEnd.Name, Exchange: c.exchange})
	c.gateway.cancelLater(c.backEnd, c.exchange)
	c.reportBrokenRun(c.backEnd, crashWait)
}

// reportBrokenRun makes the crash guard find out whether the engine that broke off the request has crashed. It waits for
// the result for at most the time wait, and not beyond the request's deadline.
func (c *completion) reportBrokenRun(engine routing.BackEnd, wait time.Duration) {
	c.isQuarantined = c.gateway.guard.RecordBrokenRun(c.content, replicaOf(engine), min(wait, c.deadline-c.gateway.clock.now()))
}

// giveUp cancels the exchange that may be running and returns the refusal with the verdict that
// the engine's answer allows.
func (c *completion) giveUp(fault *refusal) *refusal {
	if !c.mayBeRunning {
		return c.refusal(fault)
	}
	if c.answer != nil {
		c.answer.Close()
		c.answer, c.scanner = nil, nil
	}
	c.mayBeRunning = false
	c.gateway.dispatcher.observe(routing.Completion{BackEnd: c.backEnd.Name, Exchange: c.exchange})
	cancelled := c.gateway.cancel(cancellation{backEnd: c.backEnd, exchange: c.exchange}, cancelTimeout)
	if cancelled == verdict.NotRun && c.attempts.total() == 1 && !c.mayHavePrefilled {
		c.mayHaveRun = false
	}
	return c.refusal(fault)
}

// refusal ends the completion and returns the refusal with a verdict that covers all exchanges of the request.
func (c *completion) refusal(fault *refusal) *refusal {
	c.done = true
	return fault.combine(c.mayHaveRun)
}

// completeAnswer ends the exchange after the last event of the answer.
func (c *completion) completeAnswer() {
	c.done, c.isComplete = true, true
	c.gateway.guard.RecordSuccess(c.content)
	c.mayBeRunning = false
	// Reading the end of the body, which follows [DONE], makes the connection reusable.
	if _, err := c.scanner.Next(); errors.Is(err, io.EOF) {
		c.gateway.metrics.connectionsKept.Inc()
	}
	c.answer.Close()
	c.answer, c.scanner = nil, nil
	c.gateway.dispatcher.observe(routing.Completion{
		BackEnd: c.backEnd.Name, Exchange: c.exchange, PromptTokens: c.usage.promptTokens, CachedTokens: c.usage.cachedTokens,
	})
}

// close ends whatever is still running; the caller may have disconnected in the middle of a stream.
func (c *completion) close() {
	if c.closed {
		return
	}
	c.closed = true
	defer c.release()
	defer c.text.release()
	defer c.finishAdmission()
	defer c.finishClaim()
	if c.done {
		return
	}
	c.done = true
	if c.answer != nil {
		c.answer.Close()
		c.answer, c.scanner = nil, nil
	}
	if c.mayBeRunning {
		c.mayBeRunning = false
		c.gateway.dispatcher.observe(routing.Completion{BackEnd: c.backEnd.Name, Exchange: c.exchange})
		c.gateway.cancelLater(c.backEnd, c.exchange)
	}
}
