package gateway

import (
	"errors"
	"time"

	"github.com/gravitational/trace"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/admission"
	"github.com/hazelpitch/hazelpitch/internal/gatewaystate"
	"github.com/hazelpitch/hazelpitch/internal/quarantine"
	"github.com/hazelpitch/hazelpitch/internal/routing"
	"github.com/hazelpitch/hazelpitch/internal/stream"
	"github.com/hazelpitch/hazelpitch/internal/upstream"
)

const (
	// maximumResumes bounds the resumes of one exchange without progress between them.
	maximumResumes = 3
	// resumePause is the wait before a resume that follows a failed one.
	resumePause = 100 * time.Millisecond
	// cancelTimeout bounds the wait for an engine to say what became of a cancelled request.
	cancelTimeout = 300 * time.Millisecond
	// tokenStall is the longest silence between two tokens before the link counts as cut.
	tokenStall = 5 * time.Second
	// silenceSlack is how much longer a silence may last, so that the bound moves seldom.
	silenceSlack = 500 * time.Millisecond
)

// completion runs one chat request over as many exchanges as its kind allows, and gives
// out each event of the one answer exactly once and in order. One goroutine uses it.
type completion struct {
	gateway  *Gateway
	tenant   *gatewaystate.Tenant
	target   target
	request  *chatRequest
	routing  routing.Request
	shape    admission.RequestShape
	deadline time.Duration
	sequence *stream.Sequence
	// interrupter breaks the exchange off when the caller goes away.
	interrupter *upstream.Interrupter

	backEnd  routing.BackEnd
	exchange string
	answer   *upstream.Answer
	// silentUntil is the bound set on the answer's next read.
	silentUntil time.Duration
	scanner     *stream.Scanner
	// open tells that the exchange may be running at its engine.
	open bool
	// tried counts the exchanges, resumes those of the present exchange since
	// the last progress.
	tried    attempts
	resumes  int
	excluded []string
	// signature tells which other requests are the same to an engine; trial that it is held and may be
	// sent to one engine once, held that it must not be sent to any again.
	signature quarantine.Signature
	trial     bool
	held      bool
	// wholeOnly tells that a hand-over was lost: one engine does the rest.
	wholeOnly bool
	// mayHaveRun tells that some exchange of this request may have run, promptSent that
	// one of them may have read the prompt for another engine.
	mayHaveRun bool
	promptSent bool
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
		c.boundSilence()
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
		case stream.StepComplete:
			c.finish()
			return stream.Event{}, errWhole
		case stream.StepForeign:
			c.gateway.metrics.foreignAnswers.Inc()
			c.cut(trace.Wrap(upstream.ErrForeignAnswer))
		case stream.StepResume:
			c.cut(trace.Wrap(upstream.ErrTruncated))
		case stream.StepFail:
			c.cut(trace.Wrap(errEngineFailed))
			c.resumes = maximumResumes
		}
	}
}

// boundSilence lets the next read fail after tokenStall, or at the deadline. The bound is
// moved at most twice a second, since each move costs a timer.
func (c *completion) boundSilence() {
	needed := min(c.deadline, c.gateway.clock.now()+tokenStall)
	if c.silentUntil >= needed {
		return
	}
	c.silentUntil = min(c.deadline, needed+silenceSlack)
	c.answer.SetReadDeadline(c.gateway.clock.time(c.silentUntil))
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
		c.tellFirstToken()
		c.gateway.dispatcher.observe(routing.FirstToken{BackEnd: c.backEnd.Name, Exchange: c.exchange})
	}
}

var errEngineFailed = errors.New("the engine reports an error")
