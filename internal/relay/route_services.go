package relay

import (
	"time"

	"github.com/hazelpitch/hazelpitch/internal/relay/origins"
	"github.com/hazelpitch/hazelpitch/internal/serving"
	"github.com/hazelpitch/hazelpitch/internal/streamorigin"
)

// maxConfigurationAge is how long after a leader has confirmed it a relay's configuration still says at which service a stream that has no
// record would go on. A change that this relay has not learned of must still be among those that the leader states.
const maxConfigurationAge = streamorigin.MaxLifetime / 2

// applyRouteServices applies the services of a new configuration's routes, and records the streams that this relay is forwarding on
// routes which lead elsewhere since.
func (r *Relay) applyRouteServices(table *serving.Table) {
	routes := streamorigin.RoutesOf(table.Configuration)
	r.routeServicesMutex.Lock()
	affected := r.routeServices.Update(r.clock.now(), routes)
	r.routeServicesMutex.Unlock()
	r.origins.RecordActive(func(service string) bool { return affected[service] })
}

// isServiceCertain reports whether every stream of the request's path that may still go on began at the service to which its route leads, as far
// as this relay knows. A stream may outlast what is known of former configurations if its route lets it.
func (r *Relay) isServiceCertain(request *request) bool {
	if streamorigin.MayOutlast(request.route.Timeout) {
		return false
	}
	r.routeServicesMutex.Lock()
	defer r.routeServicesMutex.Unlock()
	return r.routeServices.IsSingle(r.clock.now(), streamorigin.RouteOf(request.route), pathOf(request.target))
}

// isConfigurationRecent reports whether a leader has confirmed this relay's configuration lately enough.
func (r *Relay) isConfigurationRecent() bool {
	return r.clock.now()-time.Duration(r.configurationHeardAt.Load()) < maxConfigurationAge
}

// needsServiceRecord reports whether the request's stream is recorded because of its service: it is not certain, or the route may have changed
// without this relay's knowledge, so that the leader's statement does not let its streams go on.
func (r *Relay) needsServiceRecord(request *request) bool {
	return !r.isServiceCertain(request) || r.origins.HaveRoutesChanged() && r.mayMissRouteChanges()
}

func (r *Relay) mayMissRouteChanges() bool {
	r.routeServicesMutex.Lock()
	defer r.routeServicesMutex.Unlock()
	return r.routeServices.MayMissChanges(r.clock.now())
}

// takenUp returns the stream that a request takes up. Where the service that began it is not certain, only a record tells.
func (r *Relay) takenUp(request *request) origins.TakenUp {
	stream := origins.TakenUp{Name: r.resumedName(request)}
	if r.isServiceCertain(request) && r.isConfigurationRecent() {
		stream.Service = request.service.Name
		stream.Routes, _ = streamorigin.RouteOf(request.route).RoutesToCheck(pathOf(request.target)) // complete, since the service is certain
	}
	return stream
}
