package relay

import (
	"time"

	"github.com/valyala/fasthttp"
)

// missingState is what a relay does not know though a request needs it; empty for nothing. It is the reason in the
// request's line and its answer.
type missingState string

// What relays may lack, beside room at back ends.
const (
	missingConfiguration missingState = "no configuration is known yet"
	missingListing       missingState = "no list of back ends is known yet"
	missingBackEnds      missingState = "no back end of the service is known"
	// missingOwner begins the reason of a refusal that this relay had to decide by itself.
	missingOwner missingState = "no owner of the engines answers"
)

// missing returns what the relay lacks for any request.
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

// refusal is the answer to a request for which something is lacking: it has not run. The draw in [0, 1)
// spreads the times at which clients come back.
func (l missingState) refusal(draw float64) refusal {
	retryAfter := retryAfterStartup + time.Duration(draw*float64(retryStartupSpread))
	return refusal{status: fasthttp.StatusServiceUnavailable, reason: string(l), retryAfter: retryAfter}
}

// refuseForMissingState answers a request that came before the relay knew what it needs.
func (r *Relay) refuseForMissingState(request *request, missing missingState, reply *replier) {
	refused := missing.refusal(r.draw())
	r.log.recordMissingState(request, missing, r.viewSnapshot())
	r.metrics.refusals.WithLabelValues(refused.reason).Inc()
	reply.refuse(refused)
}
