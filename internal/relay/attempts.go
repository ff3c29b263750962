package relay

import (
	"errors"
	"slices"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/hazelpitch/hazelpitch/internal/bodybudget"
	"github.com/hazelpitch/hazelpitch/internal/relay/retrybudget"
	"github.com/hazelpitch/hazelpitch/internal/verdict"
)

// attemptTracker records the attempts of one request and their outcomes.
type attemptTracker struct {
	relay   *Relay
	request *request
	// sentCount counts the attempts that reached a back end. The first prefill of the prompt counts only when the engine
	// rejected it.
	sentCount int
	// mayHaveRun is true if a back end may have run the request, or may still be running it.
	mayHaveRun  bool
	excluded    []*backEnd
	lastFailure *failure
	// isQuarantined is true if the request must not be sent to any further back end.
	isQuarantined bool
	// contest decides between the current attempt and its replacement while the current back end is silent.
	contest attemptContest
	// reservedRetry is taken from the retry budget for the next attempt, which replaces a prefill; nil for none.
	reservedRetry *retrybudget.Reservation
	// boundTo is the software version at which alone the stream may go on; None while no event of it was sent. The goroutines
	// that replace or move a run read it, too.
	boundTo atomic.Uint64
	// fallback is a back end's error answer that the client gets if no later attempt succeeds; nil for none.
	fallback *fallbackAnswer
	// fallbackMemory is the part of the relay's memory for answers that the fallback takes; nil for none.
	fallbackMemory *bodybudget.Reservation
	// hasTriedPeers is true once the request was offered to other relays.
	hasTriedPeers bool
	// slotRefusal is the answer to the client when the owner of the service's slots has refused the request; nil otherwise.
	slotRefusal *refusal
}

// newAttempts returns the record of a request's attempts, with those of the relay that has forwarded it.
func (r *Relay) newAttempts(request *request) *attemptTracker {
	attempts := &attemptTracker{relay: r, request: request}
	attempts.bind(request.boundTo)
	if request.forwarded != nil {
		attempts.sentCount, attempts.mayHaveRun = request.forwarded.Attempts, request.forwarded.MayHaveRun
		attempts.bind(request.forwarded.Version)
	}
	return attempts
}

// recordFailure records an attempt that brought no answer, and excludes its back end from further attempts.
func (a *attemptTracker) recordFailure(backEnd *backEnd, fault *failure) {
	a.countReplacements()
	a.lastFailure = fault
	a.countAttempt(backEnd, fault)
	a.relay.reportIfCrashed(backEnd, fault)
	a.reportBrokenRun(backEnd, fault)
}

// countAttempt counts an attempt that brought no answer, and excludes its back end from further attempts.
func (a *attemptTracker) countAttempt(backEnd *backEnd, fault *failure) {
	a.excluded = append(a.excluded, backEnd)
	if fault.mayHaveArrived {
		a.sentCount++
	}
	if fault.verdict != verdict.NotRun {
		a.mayHaveRun = true
	}
}

// recordMigration records that the run was migrated from its back end to another one. The run at the former back end counts
// as one attempt; it continues at the other back end as the same run.
func (a *attemptTracker) recordMigration() {
	a.sentCount++
	a.mayHaveRun = true
}

// recordFailedPrefill records a failed prefill and excludes its engine. A prefill alone does not run the request. One that
// the engine rejected counts as an attempt; one that broke off after the engine had accepted it does not.
func (a *attemptTracker) recordFailedPrefill(engine *backEnd, fault *failure) {
	a.excluded = append(a.excluded, engine)
	if fault.verdict == verdict.NotRun && fault.mayHaveArrived {
		a.sentCount++
		a.lastFailure = fault
	}
	a.relay.reportIfCrashed(engine, fault)
	a.reportBrokenRun(engine, fault)
}

// mayContinue reports whether another attempt is allowed: the client is connected, the deadline has not passed, this relay does not stop
// before an answer could come, the request is not quarantined, a possible earlier run may be repeated, and the route's limit of attempts and the retry budget
// allow it. If an earlier attempt has reached a back end, the new one is taken from the retry budget.
func (a *attemptTracker) mayContinue() bool {
	if a.isOver() || !a.relay.mayStillSend() || a.isQuarantined || a.mayHaveRun && !a.request.route.Repeatable() {
		return false
	}
	if a.request.isTrial {
		return a.sentCount == 0
	}
	if a.isQuarantined = a.relay.guard.IsQuarantined(a.request.content); a.isQuarantined {
		return false
	}
	if a.sentCount == 0 {
		return true
	}
	if a.sentCount >= a.request.route.MaxAttempts {
		return false
	}
	return a.takeRetry()
}

// hasFurtherAttempt reports whether the route allows sending the request to another back end if the current one fails.
func (a *attemptTracker) hasFurtherAttempt() bool { return a.allowsAttempts(2) }

// allowsAttempts reports whether the route allows the given number of attempts, the current one included, besides those that have
// ended.
func (a *attemptTracker) allowsAttempts(count int) bool {
	ended := a.sentCount + len(a.contest.sentReplacements())
	return a.request.route.Repeatable() && !a.request.isTrial && ended+count <= a.request.route.MaxAttempts
}

// trySpendRetry reports whether the retry budget allows another attempt, and takes it from the budget if so.
func (r *Relay) trySpendRetry(request *request) bool {
	if !r.budget.TrySpend(r.clock.now(), request.service.Name) {
		r.metrics.deniedRetries.Inc()
		return false
	}
	r.metrics.retries.Inc()
	return true
}

// isOver reports whether the client has disconnected or the request's deadline has passed.
func (a *attemptTracker) isOver() bool {
	return a.request.canceller.isCancelled() || a.relay.clock.now() >= a.request.deadline
}

// isExcluded reports whether the back end must not be sent this request: it was already tried, or the stream must not go on there.
func (a *attemptTracker) isExcluded(backEnd *backEnd) bool {
	return slices.Contains(a.excluded, backEnd) || !mayGoOnAt(a.binding(), backEnd)
}

// Delays after which refused clients may retry.
const (
	retryAfterBusy      = 150 * time.Millisecond
	retryAfterNoBackEnd = 250 * time.Millisecond
	retryAfterStaleView = 1000 * time.Millisecond
	// retryAfterStartup and retryStartupSpread apply to relays that have just started. Nearly all of them receive a
	// configuration and a list of back ends within 0.7 s, and clients should not all retry at the same moment.
	retryAfterStartup  = 300 * time.Millisecond
	retryStartupSpread = 300 * time.Millisecond
)

// refusal returns the relay's own answer to a request that no attempt has answered. Its status promises that the request was
// not run only when that is certain.
func (a *attemptTracker) refusal() refusal {
	isLate := a.relay.clock.now() >= a.request.deadline || a.lastFailure != nil && errors.Is(a.lastFailure, errDeadline)
	advice := a.relay.retryAdvice(a.request.service.Name, answeringStage(a.request.service))
	versionGone := a.refuseGoneVersion()
	switch {
	case a.mayHaveRun && isLate:
		return refusal{status: fasthttp.StatusGatewayTimeout, reason: "no whole answer came in time"}
	case a.mayHaveRun:
		return refusal{status: fasthttp.StatusBadGateway, reason: "the back end failed"}
	case !a.relay.mayStillSend():
		return refusal{status: fasthttp.StatusServiceUnavailable, reason: reasonStopping, retryAfter: retryAfterStop, isRetryableAtPeer: true}
	case a.isQuarantined:
		return refusal{status: fasthttp.StatusServiceUnavailable, reason: reasonQuarantined, retryAfter: a.relay.guard.RetryAfter(a.request.content)}
	case a.slotRefusal != nil:
		return *a.slotRefusal
	case isLate:
		return refusal{status: fasthttp.StatusServiceUnavailable, reason: "no back end took the request in time", retryAfter: retryAfterBusy}
	case versionGone != nil:
		return *versionGone
	case advice.isLimited:
		return refusal{status: fasthttp.StatusServiceUnavailable, reason: "the limits of the back ends leave no room", retryAfter: advice.retryAfter}
	case advice.retryAfter > 0:
		return refusal{status: fasthttp.StatusServiceUnavailable, reason: "the back ends have asked to be left alone", retryAfter: advice.retryAfter}
	case a.lastFailure != nil && errors.Is(a.lastFailure, errNotExecuted):
		return refusal{status: fasthttp.StatusServiceUnavailable, reason: "the back ends are busy", retryAfter: retryAfterBusy}
	case len(a.relay.view.Load().byService[a.request.service.Name]) == 0:
		return refusal{status: fasthttp.StatusServiceUnavailable, reason: string(missingBackEnds), retryAfter: retryAfterNoBackEnd, isRetryableAtPeer: true}
	default:
		return refusal{status: fasthttp.StatusServiceUnavailable, reason: "no back end can take the request", retryAfter: retryAfterNoBackEnd, isRetryableAtPeer: true}
	}
}
