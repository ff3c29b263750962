package gateway

import (
	"strconv"
	"time"

	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
	"github.com/hazelpitch/hazelpitch/internal/gatewaystate"
	"github.com/hazelpitch/hazelpitch/internal/upstream"
)

const (
	// defaultDeadline holds for kinds that declare none.
	defaultDeadline = 2 * time.Minute
	// maximumExchanges bounds the exchanges that one request may begin.
	maximumExchanges = 4
)

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

// mayBegin reports whether a request that began so many exchanges may begin another; all
// but the first spend the retry budget.
func (g *Gateway) mayBegin(exchanges int) bool {
	return exchanges == 0 || (exchanges < maximumExchanges && g.retries.spend())
}

// deadlineHeader tells a back end the time left.
func deadlineHeader(left time.Duration) upstream.Header {
	return upstream.Header{Name: enginecontract.HeaderDeadline, Value: strconv.FormatInt(max(left.Milliseconds(), 1), 10)}
}
