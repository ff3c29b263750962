package gateway

import (
	"net/http"
	"time"

	"github.com/hazelpitch/hazelpitch/internal/closing"
)

// stoppingRetry is short because the caller can reach another gateway at once.
const stoppingRetry = 10 * time.Millisecond

// isStoppingFor reports whether the gateway has been stopping for the given fraction of drain_timeout.
func (g *Gateway) isStoppingFor(share float64) bool {
	if !g.draining.Load() {
		return false
	}
	elapsed := g.clock.now() - time.Duration(g.stopStartedAt.Load())
	return elapsed >= time.Duration(share*float64(g.settings.DrainTimeout))
}

// refuseLateRequest returns the refusal of a request that has come late in a stop; nil if it may be admitted.
func (g *Gateway) refuseLateRequest() *refusal {
	if !g.isStoppingFor(closing.RefuseNewAfter) {
		return nil
	}
	return refuseStopping()
}

// refuseLateStart returns the refusal of a request that would reach a back end late in a stop, because it has waited or was refused
// elsewhere; nil if there is time for it.
func (g *Gateway) refuseLateStart() *refusal {
	if !g.isStoppingFor(closing.SendUntil) {
		return nil
	}
	return refuseStopping()
}

func refuseStopping() *refusal {
	return refuse(http.StatusServiceUnavailable, typeServer, codeStopping, "the gateway stops").after(stoppingRetry)
}
