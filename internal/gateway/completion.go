package gateway

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/gravitational/trace"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/admission"
	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
	"github.com/hazelpitch/hazelpitch/internal/gatewaystate"
	"github.com/hazelpitch/hazelpitch/internal/routing"
	"github.com/hazelpitch/hazelpitch/internal/stream"
	"github.com/hazelpitch/hazelpitch/internal/upstream"
	"github.com/hazelpitch/hazelpitch/internal/verdict"
)

const (
	// maximumExchanges bounds the exchanges that one request may begin.
	maximumExchanges = 4
	// maximumResumes bounds the resumes of one exchange without progress between them.
	maximumResumes = 3
	// resumePause is the wait before a resume that follows a failed one.
	resumePause = 100 * time.Millisecond
	// cancelTimeout bounds the wait for an engine to say what became of a cancelled request.
	cancelTimeout = 300 * time.Millisecond
	// tokenStall is the longest silence between two tokens before the link counts as cut.
	tokenStall = 5 * time.Second
)

// completion runs one chat request over as many exchanges as its kind allows, and gives
// out each event of the one answer exactly once and in order. One goroutine uses it.
type completion struct {
	gateway  *Gateway
	tenant   *gatewaystate.Tenant
	target   target
	request  *chatRequest
	routing  routing.Request
	shape    admission.Shape
	deadline time.Duration
	sequence *stream.Sequence
	// interrupter breaks the exchange off when the caller goes away.
	interrupter *upstream.Interrupter

	backEnd  routing.BackEnd
	exchange string
	answer   *upstream.Answer
	scanner  *stream.Scanner
	// open tells that the exchange may be running at its engine.
	open bool
	// exchanges counts the exchanges begun, resumes those of the present exchange since
	// the last progress.
	exchanges int
	resumes   int
	excluded  []string
	// mayHaveRun tells that some exchange of this request may have run.
	mayHaveRun bool
	done       bool
	closed     bool
	// collected gathers the whole answer when it is needed at the end.
	collected *stream.Answer
	// key is the caller's idempotency key, claim what was granted for it; the claim is nil
	// for kinds that may be repeated and for requests without a key.
	key   string
	claim *v1.BeginClaim
	whole bool
	// place is the request's place in admission, from before the first exchange on.
	place *ticket
	// release gives back the gateway's slot for the request.
	release func()
	// beganAt is the time of the first exchange, firstTokenAt that of the first token.
	beganAt      time.Duration
	firstTokenAt time.Duration
	usage        usage
	overloaded   bool
}

// errWhole tells that the answer is whole and no event follows.
var errWhole = errors.New("answer is whole")

// next returns the next event of the answer. The error is errWhole after the last one, or
// a *refusal when the answer cannot become whole.
func (c *completion) next() (stream.Event, error) {
	for {
		if c.answer == nil {
			if fault := c.connect(); fault != nil {
				return stream.Event{}, fault
			}
		}
		c.answer.SetReadDeadline(c.gateway.clock.time(min(c.deadline, c.gateway.clock.now()+tokenStall)))
		event, err := c.scanner.Next()
		if err != nil {
			c.cut(trace.Wrap(err))
			continue
		}
		switch c.sequence.Accept(&event) {
		case stream.StepDeliver:
			c.note(&event)
			return event, nil
		case stream.StepDrop:
			c.gateway.metrics.eventsDropped.Inc()
		case stream.StepWhole:
			c.finish()
			return stream.Event{}, errWhole
		case stream.StepForeign:
			c.gateway.metrics.foreignAnswers.Inc()
			c.cut(trace.Wrap(upstream.ErrForeignAnswer))
		case stream.StepResume:
			c.cut(trace.Wrap(upstream.ErrTruncated))
		case stream.StepFailed:
			c.cut(trace.Wrap(errEngineFailed))
			c.resumes = maximumResumes
		}
	}
}

// note remembers what admission learns from.
func (c *completion) note(event *stream.Event) {
	c.resumes = 0
	if c.collected != nil {
		c.collected.Add(event)
	}
	switch {
	case event.Type == stream.EventUsage:
		c.usage = readUsage(event.Usage)
	case c.firstTokenAt == 0:
		c.firstTokenAt = c.gateway.clock.now()
		c.gateway.dispatcher.observe(routing.FirstToken{BackEnd: c.backEnd.Name, Exchange: c.exchange})
	}
}

var errEngineFailed = errors.New("the engine reports an error")

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
		if c.open && !c.target.kind.Spec.GetRepeatable() {
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
	if c.interrupter.Interrupted() {
		return c.giveUp(refuseGone())
	}
	if c.gateway.clock.now() >= c.deadline {
		return c.giveUp(refuseDeadline())
	}
	return nil
}

// resume asks the engine for the rest of the exchange under way.
func (c *completion) resume() bool {
	if c.resumes > 0 {
		time.Sleep(resumePause)
	}
	c.resumes++
	c.gateway.metrics.resumes.Inc()
	answer, report, failure := c.gateway.upstream.Resume(
		c.backEnd.Address, c.exchange, c.sequence.Delivered(), c.gateway.clock.time(c.deadline), c.interrupter)
	c.gateway.dispatcher.observeReport(c.backEnd.Name, report)
	if failure != nil {
		if failure.Code == enginecontract.CodeExchangeUnknown || failure.Verdict == verdict.NotRun {
			c.resumes = maximumResumes // the engine does not have it, or does not take connections
		}
		return false
	}
	c.read(answer)
	return true
}

// begin picks an engine and sends the request there. Without a refusal and without an
// answer the caller tries again.
func (c *completion) begin() *refusal {
	if c.exchanges > 0 && (c.exchanges >= maximumExchanges || !c.gateway.retries.spend()) {
		return c.refusal(refuseBackEnd())
	}
	choice, fault := c.pick()
	if fault != nil {
		return c.refusal(fault)
	}
	if c.exchanges == 0 {
		c.beganAt = c.gateway.clock.now()
	}
	c.exchanges++
	c.backEnd = choice.BackEnd
	c.exchange = upstream.NewExchange()
	c.sequence.Begin(c.exchange)
	c.resumes = 0
	c.gateway.dispatcher.observe(routing.Sent{
		BackEnd: c.backEnd.Name, Exchange: c.exchange,
		PromptTokens: max(c.routing.PromptTokens-choice.CachedTokens, 0), PrefixBlocks: c.routing.PrefixBlocks,
		Home: choice.Home,
	})
	answer, report, failure := c.gateway.upstream.Do(c.message())
	c.gateway.dispatcher.observeReport(c.backEnd.Name, report)
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
	c.excluded = append(c.excluded, c.backEnd.Name)
	c.overloaded = c.overloaded || failure.Code == enginecontract.CodeOverloaded
	if failure.Status == 0 {
		c.gateway.dispatcher.observe(routing.Failed{BackEnd: c.backEnd.Name, Exchange: c.exchange})
		return nil
	}
	c.gateway.dispatcher.observe(routing.Finished{BackEnd: c.backEnd.Name, Exchange: c.exchange})
	if failure.Code == enginecontract.CodeInvalidRequest {
		return c.refusal(refuseBody("the engine refuses the request's parameters"))
	}
	return nil
}

// pick chooses an engine; engines with the version in force go first.
func (c *completion) pick() (routing.Choice, *refusal) {
	c.routing.WholeOnly = true
	choice, err := c.gateway.dispatcher.pick(c.routing, c.excluded)
	if errors.Is(err, routing.ErrNoBackEnd) && c.routing.Version != "" {
		anyVersion := c.routing
		anyVersion.Version = ""
		choice, err = c.gateway.dispatcher.pick(anyVersion, c.excluded)
	}
	if err != nil {
		return routing.Choice{}, refusePick(err)
	}
	return choice, nil
}

// message builds the request for the picked engine.
func (c *completion) message() upstream.Request {
	left := c.deadline - c.gateway.clock.now()
	headers := []upstream.Header{
		{Name: "Content-Type", Value: "application/json"},
		{Name: enginecontract.HeaderPriority, Value: strconv.Itoa(int(c.target.kind.Spec.GetPriority()))},
		{Name: enginecontract.HeaderCacheSalt, Value: c.tenant.Spec.GetCacheSalt()},
		{Name: enginecontract.HeaderDeadline, Value: strconv.FormatInt(max(left.Milliseconds(), 1), 10)},
	}
	continueText := ""
	if delivered := c.sequence.Delivered(); delivered > 0 {
		continueText = c.sequence.Text()
		headers = append(headers, upstream.Header{Name: enginecontract.HeaderContinueFrom, Value: strconv.Itoa(delivered)})
	}
	return upstream.Request{
		Address:     c.backEnd.Address,
		Method:      http.MethodPost,
		Target:      c.request.path(),
		Headers:     headers,
		Body:        c.request.engineBody(c.target.name, continueText),
		Exchange:    c.exchange,
		Deadline:    c.gateway.clock.time(c.deadline),
		Interrupter: c.interrupter,
	}
}

func (c *completion) read(answer *upstream.Answer) {
	c.answer = answer
	c.scanner = stream.NewScanner(answer)
}

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
	c.gateway.dispatcher.observe(routing.Failed{BackEnd: c.backEnd.Name, Exchange: c.exchange})
	c.gateway.cancelLater(c.backEnd.Address, c.exchange)
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
	c.gateway.dispatcher.observe(routing.Finished{BackEnd: c.backEnd.Name, Exchange: c.exchange})
	cancelled := c.gateway.upstream.Cancel(c.backEnd.Address, c.exchange, time.Now().Add(cancelTimeout))
	if cancelled == verdict.NotRun && c.exchanges == 1 {
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
	c.open = false
	// The end of the body follows [DONE]; reading it lets the connection be used again.
	if _, err := c.scanner.Next(); errors.Is(err, io.EOF) {
		c.gateway.metrics.connectionsKept.Inc()
	}
	c.answer.Close()
	c.answer, c.scanner = nil, nil
	c.gateway.dispatcher.observe(routing.Finished{
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
		c.gateway.dispatcher.observe(routing.Finished{BackEnd: c.backEnd.Name, Exchange: c.exchange})
		c.gateway.cancelLater(c.backEnd.Address, c.exchange)
	}
}

func refuseBackEnd() *refusal {
	return refuse(http.StatusBadGateway, typeServer, codeBackEndFailed, "no back end completed the request").after(time.Second)
}

// refusePick translates routing's reason.
func refusePick(err error) *refusal {
	fault := refuse(http.StatusServiceUnavailable, typeServer, codeNoBackEnd, "no back end can take the request now")
	if errors.Is(err, routing.ErrInfeasible) {
		fault = refuseInfeasible()
	}
	var picked *routing.PickError
	if errors.As(err, &picked) {
		fault.after(picked.RetryAfter)
	}
	return fault
}
