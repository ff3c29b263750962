package relay

import (
	"time"

	"github.com/valyala/fasthttp"
)

// lack is what a relay does not know though a request needs it; empty for nothing. It is the reason in the
// request's line and its answer.
type lack string

// What relays may lack, beside room at back ends.
const (
	lacksConfiguration lack = "no configuration is known yet"
	lacksListing       lack = "no list of back ends is known yet"
	lacksBackEnds      lack = "no back end of the service is known"
	// lacksOwner begins the reason of a refusal that this relay had to decide by itself.
	lacksOwner lack = "no owner of the engines answers"
)

// lack returns what the relay lacks for any request.
func (v *view) lack() lack {
	switch {
	case v.table == nil:
		return lacksConfiguration
	case !v.listed:
		return lacksListing
	default:
		return ""
	}
}

// refusal is the answer to a request for which something is lacking: it has not run. The draw in [0, 1)
// spreads the times at which clients come back.
func (l lack) refusal(draw float64) refusal {
	comeBack := retryAfterStart + time.Duration(draw*float64(retryStartSpread))
	return refusal{status: fasthttp.StatusServiceUnavailable, reason: string(l), retryAfter: comeBack}
}

// refuseForLack answers a request that came before the relay knew what it needs.
func (r *Relay) refuseForLack(request *request, lacking lack, reply *replier) {
	refused := lacking.refusal(r.draw())
	r.log.refusedForLack(request, lacking, r.belief())
	r.metrics.refusals.WithLabelValues(refused.reason).Inc()
	reply.refuse(refused)
}
