package relay

import (
	"github.com/hazelpitch/hazelpitch/internal/serving"
	"github.com/hazelpitch/hazelpitch/internal/streamorigin"
)

// applyRouteServices applies the services of a new configuration's routes, and records the streams that this relay is forwarding on
// routes which lead elsewhere since.
func (r *Relay) applyRouteServices(table *serving.Table) {
	routes := map[streamorigin.Route]map[string]bool{}
	for index := range table.Configuration.Routes {
		route := &table.Configuration.Routes[index]
		if route.Kind != serving.KindStream || !route.Resumable {
			continue
		}
		services := map[string]bool{}
		for _, split := range route.Splits {
			services[split.Service] = true
		}
		routes[originRoute(route)] = services
	}
	r.routeServicesMutex.Lock()
	affected := r.routeServices.Update(r.clock.now(), routes)
	r.routeServicesMutex.Unlock()
	r.origins.RecordActive(func(service string) bool { return affected[service] })
}

func originRoute(route *serving.Route) streamorigin.Route {
	return streamorigin.Route{Host: route.Host, Prefix: route.Prefix}
}

// isServiceCertain reports whether every stream of the route that may still go on began at the service to which the route leads.
func (r *Relay) isServiceCertain(route *serving.Route) bool {
	r.routeServicesMutex.Lock()
	defer r.routeServicesMutex.Unlock()
	return r.routeServices.IsSingle(r.clock.now(), originRoute(route), streamorigin.LifetimeOf(route.Timeout))
}
