package gateway

import (
	"strconv"
	"time"

	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
	"github.com/hazelpitch/hazelpitch/internal/gatewaystate"
	"github.com/hazelpitch/hazelpitch/internal/upstream"
	"github.com/hazelpitch/hazelpitch/internal/verdict"
)

const (
	// defaultDeadline holds for kinds that declare none.
	defaultDeadline = 2 * time.Minute
	// maximumExchanges bounds the exchanges that one request may begin.
	maximumExchanges = 4
	// maximumTurnedAway bounds the exchanges that back ends turned away for a planned
	// change; each excludes its back end, so that another is asked.
	maximumTurnedAway = 16
)

// attempts counts the exchanges of one request.
type attempts struct {
	// begun counts those that back ends took, or that failed.
	begun int
	// turnedAway counts those that a back end refused because it leaves or changes: they
	// did not run, cost it next to nothing, and say nothing of an outage.
	turnedAway int
}

// total is the number of exchanges so far.
func (a attempts) total() int { return a.begun + a.turnedAway }

// note counts an exchange that ended with the failure.
func (a *attempts) note(failure *upstream.Failure) {
	if turnedAway(failure) {
		a.begun--
		a.turnedAway++
	}
}

// turnedAway reports whether a back end refused to begin because of a planned change.
func turnedAway(failure *upstream.Failure) bool {
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

// deadlineOf returns the time by which a request that arrived then must have its answer.
func deadlineOf(kind *gatewaystate.Kind, arrival time.Duration) time.Duration {
	if declared := kind.Deadline(); declared > 0 {
		return arrival + declared
	}
	return arrival + defaultDeadline
}

// claimKey returns the key under which a request is claimed; empty when it is not, since
// its kind may be repeated or its caller gave no key.
func claimKey(kind *gatewaystate.Kind, key string) string {
	if kind.Spec.GetRepeatable() {
		return ""
	}
	return key
}

// over returns the refusal of a request that was interrupted or whose deadline has passed.
func (g *Gateway) over(interrupter *upstream.Interrupter, deadline time.Duration) *refusal {
	if cause := interrupter.Cause(); cause != nil {
		return refuseInterrupted(cause)
	}
	if g.clock.now() >= deadline {
		return refuseDeadline()
	}
	return nil
}

// mayBegin reports whether a request may begin another exchange. All but the first spend
// the retry budget, which keeps retries from amplifying an outage; being turned away for a
// planned change spends nothing, so that the change costs no request its answer.
func (g *Gateway) mayBegin(tried attempts) bool {
	if tried.turnedAway >= maximumTurnedAway {
		return false
	}
	return tried.begun == 0 || (tried.begun < maximumExchanges && g.retries.spend())
}

// deadlineHeader tells a back end the time left.
func deadlineHeader(left time.Duration) upstream.Header {
	return upstream.Header{Name: enginecontract.HeaderDeadline, Value: strconv.FormatInt(max(left.Milliseconds(), 1), 10)}
}
