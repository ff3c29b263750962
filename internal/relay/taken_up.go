package relay

import (
	"context"
	"math"
	"time"

	"connectrpc.com/connect"
	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/events"
	"github.com/hazelpitch/hazelpitch/internal/relay/origins"
	"github.com/hazelpitch/hazelpitch/internal/serving"
	"github.com/hazelpitch/hazelpitch/internal/streamorigin"
)

// Reasons for refusing a stream that a client takes up.
const (
	reasonUnknownOrigin = "it is not known which service or software version began the stream"
	reasonNoStatement   = "no controller can be asked which software version began the stream"
	reasonVersionGone   = "no back end of the software version that began the stream takes requests"
)

// originsConfig returns what the records of where streams began depend on.
func (r *Relay) originsConfig() origins.Config {
	return origins.Config{
		Socket: r.datagrams, Incarnation: r.fleet.incarnation, Now: func() time.Duration { return r.clock.now() }, Timeout: r.peers.Timeout,
		LifetimeOf: r.streamLifetime, ReadStatement: r.readStatement, IsLeaderInContact: r.isLeaderInContact,
		Metrics: origins.Metrics{Reports: r.metrics.originReports, Lookups: r.metrics.originLookups},
	}
}

// readStatement asks the leader which software versions can have begun streams; it returns nil if it gets no answer.
func (r *Relay) readStatement(ctx context.Context) *v1.VersionStatement {
	response, err := r.watcher.LeaderClient().ReadServedVersions(ctx, connect.NewRequest(&v1.ReadServedVersionsRequest{}))
	if isUnread := err != nil; r.areVersionsUnread.Swap(isUnread) != isUnread && isUnread {
		r.event(events.VersionsUnread).Err(err).Send()
	}
	if err != nil {
		return nil
	}
	return response.Msg.GetStatement()
}

// isListCurrent reports whether the leader has confirmed this relay's list of back ends lately.
func (r *Relay) isListCurrent() bool {
	return r.isLeaderInContact() && r.view.Load().listingVersion != 0
}

// serviceHash identifies a service in records.
func serviceHash(name string) uint64 { return xxhash.Sum64String(name) }

// isTakenUp reports whether the client takes up a stream of which it has events.
func (r *Relay) isTakenUp(request *request) bool {
	names := r.dialect.Headers
	hasEvents := len(request.header.Peek(names.LastEventID)) > 0 || len(request.header.Peek(names.Resumes)) > 0
	return hasEvents && request.route.Kind == serving.KindStream && request.route.Resumable
}

// bindTakenUp binds a request that takes up a stream to the service and the software version that began the stream. It returns the
// refusal if these are not known: no stream goes on without evidence of them.
func (r *Relay) bindTakenUp(request *request) *refusal {
	if request.forwarded != nil || !r.isTakenUp(request) {
		return nil
	}
	found := r.origins.Find(r.takenUp(request), request.canceller.done())
	isLeaderMissing := found.Outcome == origins.NoStatement || !found.IsKnown() && !r.isConfigurationRecent()
	if isLeaderMissing { // the leader may be back by then
		return &refusal{status: fasthttp.StatusServiceUnavailable, reason: reasonNoStatement, retryAfter: retryAfterStaleView}
	}
	if !found.IsKnown() || !r.applyRecordedService(request, found.Record.Service) {
		return &refusal{status: fasthttp.StatusServiceUnavailable, reason: reasonUnknownOrigin}
	}
	request.boundTo, request.boundBy = found.Record.Version, evidenceOf(found, r.clock.now())
	return nil
}

// resumedName returns the name of the attempt that began the stream; no stream has the zero name.
func (r *Relay) resumedName(request *request) streamorigin.Name {
	request.headerMutex.Lock()
	defer request.headerMutex.Unlock()
	resumed := string(request.header.Peek(r.dialect.Headers.Resumes))
	if resumed == "" {
		return streamorigin.Name{}
	}
	return streamName(request, resumed)
}

// applyRecordedService selects the service that began the stream; 0 leaves the one that was drawn. It returns false if the route
// does not send requests to that service any more.
func (r *Relay) applyRecordedService(request *request, recorded uint64) bool {
	if recorded == 0 || recorded == serviceHash(request.service.Name) {
		return true
	}
	for _, split := range request.route.Splits {
		if service := r.view.Load().table.Service(split.Service); service != nil && serviceHash(split.Service) == recorded {
			request.service = service
			return true
		}
	}
	return false
}

// refuseGoneVersion returns the refusal of a stream of whose software version no back end takes requests now; nil if one does, or
// if the stream is not bound. A time to return is named only if a back end is known to take requests again by then.
func (a *attemptTracker) refuseGoneVersion() *refusal {
	if !a.isBound() {
		return nil
	}
	now, soonest := a.relay.clock.now(), time.Duration(math.MaxInt64)
	for _, backEnd := range a.relay.view.Load().byService[a.request.service.Name] {
		if backEnd.Stage != answeringStage(a.request.service) || !mayGoOnAt(a.binding(), backEnd) || backEnd.isClosed() {
			continue
		}
		delay := backEnd.sendDelay(now)
		if delay <= 0 {
			return nil
		}
		soonest = min(soonest, delay)
	}
	response := &refusal{status: fasthttp.StatusServiceUnavailable, reason: reasonVersionGone}
	if soonest < math.MaxInt64 {
		response.retryAfter = soonest
	}
	return response
}
