package relay

import (
	"github.com/hazelpitch/hazelpitch/internal/serving"
	"github.com/hazelpitch/hazelpitch/internal/streamorigin"
)

// applyRouteServices applies the services of a new configuration's routes, and records the streams that this relay is forwarding on
// routes which lead elsewhere since.
func (r *Relay) applyRouteServices(table *serving.Table) {
	routes := streamorigin.RoutesOf(table.Configuration)
	r.routeServicesMutex.Lock()
	affected := r.routeServices.Update(r.clock.now(), routes)
	r.routeServicesMutex.Unlock()
	r.origins.RecordActive(func(service string) bool { return affected[service] })
}

// isServiceCertain reports whether every stream of the route that may still go on began at the service to which the route leads, as far
// as this relay knows.
func (r *Relay) isServiceCertain(route *serving.Route) bool {
	r.routeServicesMutex.Lock()
	defer r.routeServicesMutex.Unlock()
	return r.routeServices.IsSingle(r.clock.now(), streamorigin.RouteOf(route), streamorigin.LifetimeOf(route.Timeout))
}

// needsServiceRecord reports whether streams of the route are recorded because of their service: it is not certain, or the route may have
// changed before this relay's first configuration, so that the leader's statement does not let its streams go on.
func (r *Relay) needsServiceRecord(route *serving.Route) bool {
	if !r.isServiceCertain(route) {
		return true
	}
	r.routeServicesMutex.Lock()
	defer r.routeServicesMutex.Unlock()
	return !r.routeServices.ReachesBack(r.clock.now(), streamorigin.MaxLifetime) && r.origins.HaveRoutesChanged()
}
