package relay

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/hazelpitch/hazelpitch/internal/closing"
	"github.com/hazelpitch/hazelpitch/internal/events"
	"github.com/hazelpitch/hazelpitch/internal/pause"
)

const (
	// readyTimeout limits the time to read a call to the readiness endpoint; readyIdle is how long a
	// connection to it may stay idle.
	readyTimeout = 2 * time.Second
	readyIdle    = 30 * time.Second
	// minStayShare is the fraction of the grace period for which a stopping relay keeps running in any case, so that clients
	// have stopped connecting to it when it exits.
	minStayShare = 0.4
	// quietIdleShare is the fraction of the grace period for which nothing must have arrived on an idle connection before
	// it is closed: a client that has just opened a connection is about to send on it.
	quietIdleShare = 0.2
	// maxStayShare is the fraction of the grace period after which the relay exits even if requests are in progress.
	maxStayShare = 0.95
	// endRequestsShare is the fraction of the grace period after which requests in progress are ended, so that those without
	// an answer get one before the relay exits.
	endRequestsShare = 0.93
)

// readyHandler serves the readiness endpoint: status 200 while the relay accepts new connections, 503 otherwise.
func (r *Relay) readyHandler() http.Handler {
	routes := http.NewServeMux()
	routes.HandleFunc("GET "+r.dialect.ReadyPath, func(writer http.ResponseWriter, _ *http.Request) {
		if r.stopping.Load() || !r.view.Load().isReady() {
			writer.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		writer.WriteHeader(http.StatusOK)
	})
	return routes
}

// drain stops the relay. At endRequestsShare it ends the exchanges in progress, so that requests without an answer are refused
// before the relay exits. First it reports not ready and continues to serve, then it refuses
// new requests, then it closes the port and the idle connections, after a last check of each. It returns when the accepted
// requests are answered, at maxStayShare at the latest.
func (r *Relay) drain(ctx context.Context, listener net.Listener) {
	beganAt := r.clock.now()
	r.stopStartedAt = beganAt
	began := r.clock.at(beganAt)
	share := func(part float64) time.Duration { return time.Duration(part * float64(r.settings.GracePeriod)) }
	r.refuseNewAt.Store(int64(beganAt + share(closing.RefuseNewAfter)))
	r.sendUntil.Store(int64(beganAt + share(closing.SendUntil)))
	r.stopping.Store(true)
	drainCtx, cancel := context.WithDeadline(ctx, began.Add(share(endRequestsShare)))
	defer cancel()
	pause.For(drainCtx, share(minStayShare))
	if err := closing.CloseWhenEmpty(listener, share(endRequestsShare-minStayShare)); err != nil {
		r.log.logger.Warn().Err(err).Msg("closing the listener for clients failed")
	}
	clean := r.connections.tracked.CloseIdle(drainCtx, began, share(quietIdleShare))
	serving := r.connections.servingCount()
	if !clean {
		r.endRequests(ctx, began.Add(share(maxStayShare)))
	}
	r.event(events.RelayStopped).Bool("clean", clean).Int("serving", serving).Int("connections", r.connections.tracked.Len()).
		Dur("took_ms", r.clock.now()-beganAt).Send()
}

// endRequests ends the exchanges in progress, so that each request whose answer has not begun is answered by the relay itself,
// and waits for these answers until the given time.
func (r *Relay) endRequests(ctx context.Context, until time.Time) {
	for _, request := range r.connections.activeRequests() {
		request.canceller.stop()
	}
	limited, cancel := context.WithDeadline(ctx, until)
	defer cancel()
	for r.connections.servingCount() > 0 && pause.For(limited, endedPollInterval) {
	}
}

// endedPollInterval is the time between two checks for requests in progress.
const endedPollInterval = 5 * time.Millisecond

// closingAnswer returns the answer that a stopping relay sends on an idle connection before it closes it, for a request that
// may be on its way.
func (r *Relay) closingAnswer() []byte {
	reply := &replier{names: r.dialect.Headers, isStopping: func() bool { return true }}
	return reply.refusalMessage(refusal{status: fasthttp.StatusRequestTimeout, reason: reasonStopping, retryAfter: retryAfterStop})
}

// mayStillSend reports whether there is time to send a request to a back end.
func (r *Relay) mayStillSend() bool {
	until := time.Duration(r.sendUntil.Load())
	return until == 0 || r.clock.now() < until
}

// refusesNewRequests reports whether a stopping relay refuses new requests now.
func (r *Relay) refusesNewRequests() bool {
	return r.stopping.Load() && r.clock.now() >= time.Duration(r.refuseNewAt.Load())
}
