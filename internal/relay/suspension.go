package relay

import (
	"time"

	"github.com/hazelpitch/hazelpitch/internal/events"
)

// noteSuspension sets right what timers keep that were set before the machine was suspended: exchanges
// end when the request's time is over, and not later by as long as the machine was away. Ages and idle
// times need nothing, since the clock counts suspensions.
func (r *Relay) noteSuspension(suspended time.Duration) {
	serving := r.connections.served()
	r.event(events.MachineSuspended).Int64("suspended_ms", suspended.Milliseconds()).Int("serving", len(serving)).Send()
	for _, request := range serving {
		request.canceller.resetDeadline(r.clock)
	}
}
