package gateway

import (
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/rs/zerolog"

	"github.com/hazelpitch/hazelpitch/internal/bodybudget"
	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
	"github.com/hazelpitch/hazelpitch/internal/gatewaystate"
	"github.com/hazelpitch/hazelpitch/internal/http1/grammar"
	"github.com/hazelpitch/hazelpitch/internal/routing"
	"github.com/hazelpitch/hazelpitch/internal/upstream"
	"github.com/hazelpitch/hazelpitch/internal/verdict"
)

const (
	// defaultDeadline applies to kinds that declare no deadline.
	defaultDeadline = 2 * time.Minute
	// maximumExchanges bounds the exchanges that one request may start.
	maximumExchanges = 4
	// maximumDeclined bounds the exchanges that back ends decline because of a planned change. Each of them
	// excludes its back end, so that the next attempt goes to another one.
	maximumDeclined = 16
)

// attempts counts the exchanges of one request.
type attempts struct {
	// started counts exchanges that a back end accepted or that failed.
	started int
	// declined counts exchanges that a back end refused because it is leaving or changing, and those for which no
	// connection was opened because the path is lost. They did not run, cost the back end very little or nothing and are
	// no sign of an outage.
	declined int
	// isPathLost is true if the path to the service was lost at the last exchange.
	isPathLost bool
}

// total returns the number of exchanges so far.
func (a attempts) total() int { return a.started + a.declined }

// recordFailure counts an exchange as declined when the failure is a planned refusal or the path is lost.
func (a *attempts) recordFailure(failure *upstream.Failure) {
	a.isPathLost = isPathLost(failure)
	if a.isPathLost || isPlannedRefusal(failure) {
		a.started--
		a.declined++
	}
}

// refuseExhausted refuses a request that may start no further exchange.
func (a attempts) refuseExhausted() *refusal {
	if a.isPathLost {
		return refuse(http.StatusServiceUnavailable, typeServer, codeNoBackEnd, "no back end can take the request now").after(lostPathRetryAfter)
	}
	return refuseBackEnd()
}

// isPathLost reports whether an exchange was not started because the path to the service is lost.
func isPathLost(failure *upstream.Failure) bool {
	return failure != nil && errors.Is(failure, errPathLost)
}

// observeFailure reports an exchange without an answer to the router. A lost path, and memory that other answers take, are no failure of
// the back end.
func (g *Gateway) observeFailure(backEnd, exchange string, failure *upstream.Failure) {
	if failure.Status != 0 || isPathLost(failure) || errors.Is(failure, bodybudget.ErrExhausted) {
		g.dispatcher.observe(routing.Completion{BackEnd: backEnd, Exchange: exchange})
		return
	}
	g.dispatcher.observe(routing.Failure{BackEnd: backEnd, Exchange: exchange})
}

// failureLine begins a log line about an exchange with a back end that brought no usable answer. It names the rule of HTTP/1.1 that the
// answer breaks, if it breaks one.
func (g *Gateway) failureLine(backEnd string, cause error) *zerolog.Event {
	line := g.log.Info().Err(cause).Str("back_end", backEnd)
	if rule := grammar.BrokenRule(cause); rule != "" {
		line = line.Str("rule", string(rule))
	}
	return line
}

// isPlannedRefusal reports whether a back end refused an exchange because of a planned change.
func isPlannedRefusal(failure *upstream.Failure) bool {
	if failure == nil || failure.Verdict != verdict.NotRun {
		return false
	}
	switch failure.Code {
	case enginecontract.CodeDraining, enginecontract.CodeChanging, enginecontract.CodeLeaving, enginecontract.CodeWrongRole:
		return true
	default:
		return false
	}
}

// deadlineOf returns the time by which a request that arrived at the given time must be answered.
func deadlineOf(kind *gatewaystate.Kind, arrival time.Duration) time.Duration {
	if declared := kind.Deadline(); declared > 0 {
		return arrival + declared
	}
	return arrival + defaultDeadline
}

// claimKey returns the key under which a request is claimed. It is empty for a repeatable kind, whose requests
// are not claimed, and when the caller sent no key.
func claimKey(kind *gatewaystate.Kind, key string) string {
	if kind.Spec.GetRepeatable() {
		return ""
	}
	return key
}

// checkActive returns the refusal of a request that was interrupted or whose deadline has passed, else nil.
func (g *Gateway) checkActive(interrupter *upstream.Interrupter, deadline time.Duration) *refusal {
	if cause := interrupter.Cause(); cause != nil {
		return refuseInterrupted(cause)
	}
	if g.clock.now() >= deadline {
		return refuseDeadline()
	}
	return nil
}

// mayStartExchange reports whether a request may start another exchange. Each exchange after the first spends from
// the retry budget, which keeps retries from amplifying an outage. Exchanges that a back end declined because it is
// leaving or changing spend nothing, so that a planned change fails no request.
func (g *Gateway) mayStartExchange(counts attempts) bool {
	if counts.declined >= maximumDeclined {
		return false
	}
	return counts.started == 0 || (counts.started < maximumExchanges && g.retries.spend())
}

// couldStartExchange reports whether mayStartExchange would allow one more exchange now, without spending for it.
func (g *Gateway) couldStartExchange(counts attempts) bool {
	return counts.declined < maximumDeclined && counts.started < maximumExchanges && g.retries.canSpend()
}

// deadlineHeader returns the header with the remaining time, in milliseconds.
func deadlineHeader(remaining time.Duration) upstream.Header {
	return upstream.Header{Name: enginecontract.HeaderDeadline, Value: strconv.FormatInt(max(remaining.Milliseconds(), 1), 10)}
}
