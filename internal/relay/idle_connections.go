package relay

import (
	"context"
	"time"

	"github.com/hazelpitch/hazelpitch/internal/pause"
)

// idleCheckInterval is the time between two checks of the idle connections. Meanwhile bytes that nobody reads can fill the
// receive buffer of an idle connection.
const idleCheckInterval = time.Second

// closeUnusableConnections closes idle connections to back ends and to other relays that no request may use any more, until the
// context ends.
func (r *Relay) closeUnusableConnections(ctx context.Context) {
	for pause.For(ctx, idleCheckInterval) {
		now := r.clock.now()
		for _, backEnds := range r.view.Load().byService {
			for _, backEnd := range backEnds {
				backEnd.pool.CloseUnusable(now)
			}
		}
		for _, peer := range r.forwarder.allRecords() {
			peer.pool.CloseUnusable(now)
		}
	}
}
