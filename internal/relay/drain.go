package relay

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/hazelpitch/hazelpitch/internal/closing"
	"github.com/hazelpitch/hazelpitch/internal/events"
	"github.com/hazelpitch/hazelpitch/internal/pause"
)

const (
	// readyTimeout and readyIdle bound the calls that ask for readiness.
	readyTimeout = 2 * time.Second
	readyIdle    = 30 * time.Second
	// refuseShare is the part of the grace after which a stopping relay takes no new
	// requests; those taken until then have the rest.
	refuseShare = 0.3
	// leaveShare is the part of the grace for which a stopping relay at least stays, so that
	// nobody is sent to it any more when it goes.
	leaveShare = 0.4
	// quietShare is the part of the grace for which nothing must have come on a connection that
	// rests before it is ended: a client that has just opened one sends on it.
	quietShare = 0.2
	// lastShare is the part of the grace after which it goes whatever is under way.
	lastShare = 0.95
)

// readyHandler answers whether this relay wants new connections.
func (r *Relay) readyHandler() http.Handler {
	routes := http.NewServeMux()
	routes.HandleFunc("GET "+r.dialect.ReadyPath, func(writer http.ResponseWriter, _ *http.Request) {
		if r.stopping.Load() || !r.view.Load().ready() {
			writer.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		writer.WriteHeader(http.StatusOK)
	})
	return routes
}

// drain stops the relay without cutting a request: first it calls itself not ready and serves on, then
// it refuses new requests, then it closes its port and the connections that rest, after a last look at
// each, and it goes when those taken are answered.
func (r *Relay) drain(ctx context.Context, listener net.Listener) {
	beganAt := r.clock.now()
	began := r.clock.at(beganAt)
	share := func(part float64) time.Duration { return time.Duration(part * float64(r.settings.GracePeriod)) }
	r.stopAt.Store(int64(beganAt + share(refuseShare)))
	r.stopping.Store(true)
	limited, cancel := context.WithDeadline(ctx, began.Add(share(lastShare)))
	defer cancel()
	pause.For(limited, share(leaveShare))
	if err := closing.CloseWhenEmpty(listener, share(lastShare-leaveShare)); err != nil {
		r.log.logger.Warn().Err(err).Msg("the clients' port did not close as it should")
	}
	clean := r.connections.tracked.CloseIdle(limited, began, share(quietShare))
	r.event(events.RelayStopped).Bool("clean", clean).Int("serving", r.connections.serving()).Int("connections", r.connections.tracked.Len()).
		Dur("took_ms", r.clock.now()-beganAt).Send()
}

// refusesNew reports whether a stopping relay takes no new requests any more.
func (r *Relay) refusesNew() bool {
	return r.stopping.Load() && r.clock.now() >= time.Duration(r.stopAt.Load())
}
