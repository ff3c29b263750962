package relay

import (
	"time"

	"github.com/hazelpitch/hazelpitch/internal/events"
)

// handleSuspension sets right what timers keep that were set before the machine was suspended: exchanges
// end when the request's time is over, and not later by as long as the machine was away. Ages and idle
// times need nothing, since the clock counts suspensions.
func (r *Relay) handleSuspension(suspended time.Duration) {
	active := r.connections.activeRequests()
	r.event(events.MachineSuspended).Int64("suspended_ms", suspended.Milliseconds()).Int("serving", len(active)).Send()
	for _, request := range active {
		request.canceller.resetDeadline(r.clock)
	}
}
