package relay

import (
	"github.com/valyala/fasthttp"

	"github.com/hazelpitch/hazelpitch/internal/serving"
)

// keyFault is the reason for which a request's key does not admit the request; empty when it does. It never contains the key.
type keyFault string

// Reasons for which requests are not admitted.
const (
	keyMissing   keyFault = "the request has no key"
	keyRepeated  keyFault = "the request has more than one key"
	keyMalformed keyFault = "the key of the request cannot be read"
	keyUnknown   keyFault = "the key of the request is not known"
)

// admit identifies the request's tenant by the key in the header and returns the reason for which the request is not
// admitted; empty when it is. A request without a key has no tenant and is admitted only on open routes. A key that is sent
// must be known, on open routes too.
func (r *Relay) admit(table *serving.Table, request *request) keyFault {
	if !table.Configuration.RequireKeys {
		return ""
	}
	request.usesKeys = true
	values := request.header.PeekAll(r.dialect.Headers.Authorization)
	switch {
	case len(values) == 0 && request.route.Open:
		return ""
	case len(values) == 0:
		return keyMissing
	case len(values) > 1:
		return keyRepeated
	}
	key, found := r.dialect.ParseKey(string(values[0]))
	if !found {
		return keyMalformed
	}
	if request.tenant = table.Tenant(key); request.tenant == nil {
		return keyUnknown
	}
	return ""
}

// refuseKey refuses a request that is not admitted.
func (r *Relay) refuseKey(request *request, fault keyFault, reply *replier) {
	response := r.refuseByConfiguration(fasthttp.StatusUnauthorized, string(fault))
	if response.status == fasthttp.StatusUnauthorized {
		response.challenge = "Bearer"
	}
	r.log.recordKeyRefusal(request, fault, response.status)
	r.metrics.refusals.WithLabelValues(response.reason).Inc()
	reply.refuse(response)
}
