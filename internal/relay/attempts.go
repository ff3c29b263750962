package relay

import (
	"errors"
	"slices"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/hazelpitch/hazelpitch/internal/crashguard"
	"github.com/hazelpitch/hazelpitch/internal/verdict"
)

// attempts keeps count of what one request was sent to.
type attempts struct {
	relay   *Relay
	request *request
	// sent counts sendings that reached a back end, but for a first reading of the prompt.
	sent int
	// mayHaveRun tells that a back end may have run the request, or run it still.
	mayHaveRun bool
	excluded   []*backEnd
	last       *failure
	// held tells that the request must not be sent to any back end again.
	held bool
}

// note takes the outcome of a sending that brought no answer.
func (a *attempts) note(backEnd *backEnd, fault *failure) {
	a.last = fault
	a.excluded = append(a.excluded, backEnd)
	if fault.arrived {
		a.sent++
	}
	if fault.verdict != verdict.NotRun {
		a.mayHaveRun = true
	}
	a.relay.noteEnded(backEnd, fault)
	a.noteBroken(backEnd, fault)
}

// noteMoved takes a run that was moved from a back end: it ran there, and goes on at another one as
// the same run.
func (a *attempts) noteMoved() {
	a.sent++
	a.mayHaveRun = true
}

// noteReading takes a failed reading of the prompt, which runs nothing: one that an engine
// rejected counts as a sending, one that broke off after it was taken up does not.
func (a *attempts) noteReading(engine *backEnd, fault *failure) {
	a.excluded = append(a.excluded, engine)
	if fault.verdict == verdict.NotRun && fault.arrived {
		a.sent++
		a.last = fault
	}
	a.relay.noteEnded(engine, fault)
	a.noteBroken(engine, fault)
}

// mayContinue reports whether another sending is allowed: by the client, the time, the
// route's attempts, what the request may have done, and the retry budget.
func (a *attempts) mayContinue() bool {
	if a.over() || a.held || a.mayHaveRun && !a.request.route.Repeatable() {
		return false
	}
	if a.request.trial {
		return a.sent == 0
	}
	if a.held = a.relay.guard.IsQuarantined(a.request.signature); a.held {
		return false
	}
	if a.sent == 0 {
		return true
	}
	if a.sent >= a.request.route.MaxAttempts {
		return false
	}
	return a.relay.sendAgain(a.request)
}

// leaveAnother reports whether the request may be sent to a further back end after the present one.
func (a *attempts) leaveAnother() bool {
	return a.request.route.Repeatable() && !a.request.trial && a.sent+1 < a.request.route.MaxAttempts
}

// sendAgain reports whether the retry budget allows another sending, and takes it from there.
func (r *Relay) sendAgain(request *request) bool {
	if !r.budget.TrySpend(r.clock.now(), request.service.Name) {
		r.metrics.denied.Inc()
		return false
	}
	r.metrics.again.Inc()
	return true
}

// over reports whether the client has gone or the request's time is over.
func (a *attempts) over() bool {
	return a.request.canceller.isCancelled() || a.relay.clock.now() >= a.request.deadline
}

// isExcluded reports whether the back end was tried already.
func (a *attempts) isExcluded(backEnd *backEnd) bool { return slices.Contains(a.excluded, backEnd) }

// Times after which a client that was refused may come back.
const (
	retryAfterBusy      = 150 * time.Millisecond
	retryAfterNoBackEnd = 250 * time.Millisecond
	retryAfterOld       = 1000 * time.Millisecond
	// retryAfterStart and retryStartSpread are for relays that have just started: nearly all of them know what
	// they need within 0.7 s, and clients had better not come back at once.
	retryAfterStart  = 300 * time.Millisecond
	retryStartSpread = 300 * time.Millisecond
)

// refusal is the final answer when no sending brought one. It promises that the request
// has not run only when that is certain.
func (a *attempts) refusal() refusal {
	late := a.relay.clock.now() >= a.request.deadline || a.last != nil && errors.Is(a.last, errDeadline)
	comeBack := a.relay.comeBack(a.request.service.Name, answeringStage(a.request.service))
	switch {
	case a.mayHaveRun && late:
		return refusal{status: fasthttp.StatusGatewayTimeout, reason: "no whole answer came in time"}
	case a.mayHaveRun:
		return refusal{status: fasthttp.StatusBadGateway, reason: "the back end failed"}
	case a.held:
		return refusal{status: fasthttp.StatusServiceUnavailable, reason: reasonHeld, retryAfter: crashguard.QuarantineRetryAfter}
	case late:
		return refusal{status: fasthttp.StatusServiceUnavailable, reason: "no back end took the request in time", retryAfter: retryAfterBusy}
	case comeBack.limited:
		return refusal{status: fasthttp.StatusServiceUnavailable, reason: "the limits of the back ends leave no room", retryAfter: comeBack.after}
	case comeBack.after > 0:
		return refusal{status: fasthttp.StatusServiceUnavailable, reason: "the back ends have asked to be left alone", retryAfter: comeBack.after}
	case a.last != nil && errors.Is(a.last, errNotExecuted):
		return refusal{status: fasthttp.StatusServiceUnavailable, reason: "the back ends are busy", retryAfter: retryAfterBusy}
	case len(a.relay.view.Load().byService[a.request.service.Name]) == 0:
		return refusal{status: fasthttp.StatusServiceUnavailable, reason: string(lacksBackEnds), retryAfter: retryAfterNoBackEnd}
	default:
		return refusal{status: fasthttp.StatusServiceUnavailable, reason: "no back end can take the request", retryAfter: retryAfterNoBackEnd}
	}
}
