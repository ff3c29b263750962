package relay

import (
	"net"
	"net/http"
	"time"
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
	// lastShare is the part of the grace after which it goes whatever is under way.
	lastShare = 0.95
	drainPoll = 20 * time.Millisecond
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

// drain stops the relay without cutting a request: first it calls itself not ready and
// serves on, then it refuses new requests, and it goes when those taken are answered.
func (r *Relay) drain(listener net.Listener) {
	began := r.clock.now()
	grace := float64(r.settings.Grace)
	r.stopping.Store(true)
	r.stopAt.Store(int64(began + time.Duration(grace*refuseShare)))
	for {
		passed := float64(r.clock.now() - began)
		if passed >= grace*lastShare {
			return
		}
		if passed >= grace*leaveShare {
			_ = listener.Close() // connections that wait to be accepted are reset unread
			if r.connections.serving() == 0 {
				return
			}
		}
		time.Sleep(drainPoll)
	}
}

// refusesNew reports whether a stopping relay takes no new requests any more.
func (r *Relay) refusesNew() bool {
	return r.stopping.Load() && r.clock.now() >= time.Duration(r.stopAt.Load())
}
