package relay

import "github.com/valyala/fasthttp"

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

// refusal is the answer to a request for which something is lacking: it has not run.
func (l lack) refusal() refusal {
	return refusal{status: fasthttp.StatusServiceUnavailable, reason: string(l), retryAfter: retryAfterStart}
}

// refuseForLack answers a request that came before the relay knew what it needs.
func (r *Relay) refuseForLack(request *request, lacking lack, reply *replier) {
	refused := lacking.refusal()
	r.log.refusedForLack(request, lacking, r.belief())
	r.metrics.refusals.WithLabelValues(refused.reason).Inc()
	reply.refuse(refused)
}
