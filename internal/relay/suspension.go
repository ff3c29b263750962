package relay

import (
	"time"

	"github.com/hazelpitch/hazelpitch/internal/events"
)

// handleSuspension corrects timers after the machine was suspended: exchanges end at the request's deadline, not later by
// the length of the suspension. Ages and idle times need no correction, since the clock includes suspensions.
func (r *Relay) handleSuspension(suspended time.Duration) {
	active := r.connections.activeRequests()
	r.event(events.MachineSuspended).Int64("suspended_ms", suspended.Milliseconds()).Int("serving", len(active)).Send()
	for _, request := range active {
		request.canceller.resetDeadline(r.clock)
	}
}
