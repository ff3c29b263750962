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
	// maximumResumes bounds the consecutive resumes of one exchange without progress.
	maximumResumes = 3
	// resumePause is the delay before a resume that follows a failed one.
	resumePause = 100 * time.Millisecond
	// leaderSilenceLimit bounds the time for which a permit for a resume is requested from a leader that does not answer. An
	// engine ends an exchange after 5 s without a reader.
	leaderSilenceLimit = 4 * time.Second
	// cancelTimeout bounds the wait for an engine to report the verdict of a cancelled exchange.
	cancelTimeout = 300 * time.Millisecond
	// tokenStallTimeout is the longest time between two tokens before the connection counts as broken.
	tokenStallTimeout = 5 * time.Second
	// readDeadlineSlack is added to each read deadline, so that the deadline is set less often.
	readDeadlineSlack = 500 * time.Millisecond
)

// completion runs one chat request over as many exchanges as its kind allows, and returns
// each event of the answer exactly once and in order. It is not safe for concurrent use.
type completion struct {
	gateway  *Gateway
	tenant   *gatewaystate.Tenant
	target   target
	request  *chatRequest
	routing  routing.Request
	shape    admission.RequestShape
	deadline time.Duration
	sequence *stream.Sequence
	// interrupter interrupts the exchange when the caller disconnects.
	interrupter *upstream.Interrupter

	backEnd  routing.BackEnd
	exchange string
	answer   *upstream.Answer
	// readDeadline is the deadline set for the next read of the answer.
	readDeadline time.Duration
	scanner      *stream.Scanner
	// mayBeRunning is set while the exchange may be running at its engine.
	mayBeRunning bool
	// attempts counts the exchanges; resumes counts the resumes of the current exchange since
	// the last progress.
	attempts attempts
	resumes  int
	excluded []string
	// content identifies the request and the parts of its prompt for the quarantine. isTrial is set for a quarantined request
	// that may be sent to one engine once, isQuarantined for one that must not be sent to any engine again.
	content       quarantine.Content
	isTrial       bool
	isQuarantined bool
	// wholeOnly is set after a failed KV transfer and for a trial: one engine must serve the whole request.
	wholeOnly bool
	// mayHaveRun is set when an exchange of this request may have run, mayHavePrefilled when an engine may have run the
	// prefill of this request for another engine.
	mayHaveRun       bool
	mayHavePrefilled bool
	// done is set once the answer is complete or refused, closed once close has run.
	done   bool
	closed bool
	// collected accumulates the whole answer when it is needed at the end.
	collected *stream.Answer
	// text is what is kept of the answer's text, for the whole answer or to continue it elsewhere.
	text keptText
	// key is the caller's idempotency key and claim the claim granted for it. The claim is nil
	// for repeatable kinds and for requests without a key.
	key        string
	claim      *v1.BeginClaim
	isComplete bool
	// slot is the request's admission slot; it is set before the first exchange.
	slot *admissionSlot
	// release returns the gateway's in-flight slot of the request.
	release func()
	// beganAt is the start of the first exchange, firstTokenAt the time of the first token.
	beganAt      time.Duration
	firstTokenAt time.Duration
	usage        usage
	overloaded   bool
}

// errAnswerComplete means that the answer is complete and no event follows.
var errAnswerComplete = errors.New("the answer is complete")

// next returns the next event of the answer. The error is errAnswerComplete after the last event, or
// a *refusal when the answer cannot be completed.
func (c *completion) next() (stream.Event, error) {
	for {
		if c.answer == nil {
			if fault := c.connect(); fault != nil {
				return stream.Event{}, fault
			}
		}
		c.extendReadDeadline()
		event, err := c.scanner.Next()
		if err != nil {
			c.cutStream(trace.Wrap(err))
			continue
		}
		switch c.sequence.Accept(&event) {
		case stream.StepDeliver:
			if fault := c.keepText(&event); fault != nil {
				return stream.Event{}, fault
			}
			c.recordEvent(&event)
			return event, nil
		case stream.StepDrop:
			c.gateway.metrics.eventsDropped.Inc()
		case stream.StepComplete:
			c.completeAnswer()
			return stream.Event{}, errAnswerComplete
		case stream.StepForeign:
			c.gateway.metrics.foreignAnswers.Inc()
			c.cutStream(trace.Wrap(upstream.ErrForeignAnswer))
		case stream.StepResume:
			c.cutStream(trace.Wrap(upstream.ErrTruncated))
		case stream.StepFail:
			c.cutStream(trace.Wrap(errEngineFailed))
			c.resumes = maximumResumes
		}
	}
}

// extendReadDeadline makes the next read fail after tokenStallTimeout, or at the request's deadline. It sets a new
// deadline at most twice a second, because each one costs a timer.
func (c *completion) extendReadDeadline() {
	wanted := min(c.deadline, c.gateway.clock.now()+tokenStallTimeout)
	if c.readDeadline >= wanted {
		return
	}
	c.readDeadline = min(c.deadline, wanted+readDeadlineSlack)
	c.answer.SetReadDeadline(c.gateway.clock.time(c.readDeadline))
}

// recordEvent updates the state that depends on a delivered event, and the statistics of admission and routing.
func (c *completion) recordEvent(event *stream.Event) {
	c.resumes = 0
	if c.collected != nil {
		c.collected.Add(event)
	}
	switch {
	case event.Type == stream.EventUsage:
		c.usage = readUsage(event.Usage)
	case c.firstTokenAt == 0:
		c.firstTokenAt = c.gateway.clock.now()
		c.recordFirstToken()
		c.gateway.dispatcher.observe(routing.FirstToken{BackEnd: c.backEnd.Name, Exchange: c.exchange})
	}
}

var errEngineFailed = errors.New("the engine reports an error")
