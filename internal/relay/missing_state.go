package relay

import (
	"time"

	"github.com/valyala/fasthttp"
)

// missingState names the state that the relay needs for a request but has not received yet; empty for none. It is the
// reason in the request's log line and in its answer.
type missingState string

// State that may be missing.
const (
	missingConfiguration missingState = "no configuration is known yet"
	missingListing       missingState = "no list of back ends is known yet"
	missingBackEnds      missingState = "no back end of the service is known"
	// missingOwner is the prefix of the reason when this relay had to decide without the engines' owner.
	missingOwner missingState = "no owner of the engines answers"
)

// missing returns the state that is missing for any request.
func (v *view) missing() missingState {
	switch {
	case v.table == nil:
		return missingConfiguration
	case !v.isListed:
		return missingListing
	default:
		return ""
	}
}

// refusal returns the answer to a request that cannot be served because this state is missing. The request was not run. draw, in
// [0, 1), spreads the times at which clients retry.
func (m missingState) refusal(draw float64) refusal {
	retryAfter := retryAfterStartup + time.Duration(draw*float64(retryStartupSpread))
	return refusal{status: fasthttp.StatusServiceUnavailable, reason: string(m), retryAfter: retryAfter, isRetryableAtPeer: true}
}

// refuseForMissingState refuses a request that arrived before the relay had received the state that it needs.
func (r *Relay) refuseForMissingState(request *request, missing missingState, reply *replier) {
	response := missing.refusal(r.draw())
	r.log.recordUnserved(request, string(missing), r.viewSnapshot())
	r.metrics.refusals.WithLabelValues(response.reason).Inc()
	reply.refuse(response)
}
