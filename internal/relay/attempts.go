package relay

import (
	"errors"
	"slices"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/hazelpitch/hazelpitch/internal/crashguard"
	"github.com/hazelpitch/hazelpitch/internal/verdict"
)

// attemptTracker keeps count of what one request was sent to.
type attemptTracker struct {
	relay   *Relay
	request *request
	// sentCount counts sendings that reached a back end, but for a first reading of the prompt.
	sentCount int
	// mayHaveRun tells that a back end may have run the request, or run it still.
	mayHaveRun  bool
	excluded    []*backEnd
	lastFailure *failure
	// isQuarantined tells that the request must not be sent to any back end again.
	isQuarantined bool
}

// recordFailure takes the outcome of a sending that brought no answer.
func (a *attemptTracker) recordFailure(backEnd *backEnd, fault *failure) {
	a.lastFailure = fault
	a.excluded = append(a.excluded, backEnd)
	if fault.mayHaveArrived {
		a.sentCount++
	}
	if fault.verdict != verdict.NotRun {
		a.mayHaveRun = true
	}
	a.relay.reportIfCrashed(backEnd, fault)
	a.reportBroken(backEnd, fault)
}

// recordMigration takes a run that was moved from a back end: it ran there, and goes on at another one as
// the same run.
func (a *attemptTracker) recordMigration() {
	a.sentCount++
	a.mayHaveRun = true
}

// recordFailedPrefill takes a failed reading of the prompt, which runs nothing: one that an engine
// rejected counts as a sending, one that broke off after it was taken up does not.
func (a *attemptTracker) recordFailedPrefill(engine *backEnd, fault *failure) {
	a.excluded = append(a.excluded, engine)
	if fault.verdict == verdict.NotRun && fault.mayHaveArrived {
		a.sentCount++
		a.lastFailure = fault
	}
	a.relay.reportIfCrashed(engine, fault)
	a.reportBroken(engine, fault)
}

// mayContinue reports whether another sending is allowed: by the client, the time, the
// route's attempts, what the request may have done, and the retry budget.
func (a *attemptTracker) mayContinue() bool {
	if a.isOver() || a.isQuarantined || a.mayHaveRun && !a.request.route.Repeatable() {
		return false
	}
	if a.request.isTrial {
		return a.sentCount == 0
	}
	if a.isQuarantined = a.relay.guard.IsQuarantined(a.request.signature); a.isQuarantined {
		return false
	}
	if a.sentCount == 0 {
		return true
	}
	if a.sentCount >= a.request.route.MaxAttempts {
		return false
	}
	return a.relay.trySpendRetry(a.request)
}

// hasFurtherAttempt reports whether the request may be sent to a further back end after the present one.
func (a *attemptTracker) hasFurtherAttempt() bool {
	return a.request.route.Repeatable() && !a.request.isTrial && a.sentCount+1 < a.request.route.MaxAttempts
}

// trySpendRetry reports whether the retry budget allows another sending, and takes it from there.
func (r *Relay) trySpendRetry(request *request) bool {
	if !r.budget.TrySpend(r.clock.now(), request.service.Name) {
		r.metrics.deniedRetries.Inc()
		return false
	}
	r.metrics.retries.Inc()
	return true
}

// isOver reports whether the client has gone or the request's time is isOver.
func (a *attemptTracker) isOver() bool {
	return a.request.canceller.isCancelled() || a.relay.clock.now() >= a.request.deadline
}

// isExcluded reports whether the back end was tried already.
func (a *attemptTracker) isExcluded(backEnd *backEnd) bool {
	return slices.Contains(a.excluded, backEnd)
}

// Times after which a client that was refused may come back.
const (
	retryAfterBusy      = 150 * time.Millisecond
	retryAfterNoBackEnd = 250 * time.Millisecond
	retryAfterStaleView = 1000 * time.Millisecond
	// retryAfterStartup and retryStartSpread are for relays that have just started: nearly all of them know what
	// they need within 0.7 s, and clients had better not come back at once.
	retryAfterStartup  = 300 * time.Millisecond
	retryStartupSpread = 300 * time.Millisecond
)

// refusal is the final answer when no sending brought one. It promises that the request
// has not run only when that is certain.
func (a *attemptTracker) refusal() refusal {
	isLate := a.relay.clock.now() >= a.request.deadline || a.lastFailure != nil && errors.Is(a.lastFailure, errDeadline)
	advice := a.relay.retryAdvice(a.request.service.Name, answeringStage(a.request.service))
	switch {
	case a.mayHaveRun && isLate:
		return refusal{status: fasthttp.StatusGatewayTimeout, reason: "no whole answer came in time"}
	case a.mayHaveRun:
		return refusal{status: fasthttp.StatusBadGateway, reason: "the back end failed"}
	case a.isQuarantined:
		return refusal{status: fasthttp.StatusServiceUnavailable, reason: reasonQuarantined, retryAfter: crashguard.QuarantineRetryAfter}
	case isLate:
		return refusal{status: fasthttp.StatusServiceUnavailable, reason: "no back end took the request in time", retryAfter: retryAfterBusy}
	case advice.limited:
		return refusal{status: fasthttp.StatusServiceUnavailable, reason: "the limits of the back ends leave no room", retryAfter: advice.retryAfter}
	case advice.retryAfter > 0:
		return refusal{status: fasthttp.StatusServiceUnavailable, reason: "the back ends have asked to be left alone", retryAfter: advice.retryAfter}
	case a.lastFailure != nil && errors.Is(a.lastFailure, errNotExecuted):
		return refusal{status: fasthttp.StatusServiceUnavailable, reason: "the back ends are busy", retryAfter: retryAfterBusy}
	case len(a.relay.view.Load().byService[a.request.service.Name]) == 0:
		return refusal{status: fasthttp.StatusServiceUnavailable, reason: string(missingBackEnds), retryAfter: retryAfterNoBackEnd}
	default:
		return refusal{status: fasthttp.StatusServiceUnavailable, reason: "no back end can take the request", retryAfter: retryAfterNoBackEnd}
	}
}
