package servedversions

import (
	"cmp"
	"maps"
	"slices"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/streamorigin"
)

// RoutesToWire encodes the routes of a configuration; nil if they are not known.
func RoutesToWire(routes streamorigin.Routes) *v1.StreamRoutes {
	if routes == nil {
		return nil
	}
	wire := &v1.StreamRoutes{}
	for route, services := range routes {
		wire.Routes = append(wire.Routes, &v1.StreamRoute{
			Host: route.Host, Prefix: route.Prefix, Services: slices.Sorted(maps.Keys(services)),
		})
	}
	slices.SortFunc(wire.Routes, func(a, b *v1.StreamRoute) int {
		return cmp.Or(cmp.Compare(a.GetHost(), b.GetHost()), cmp.Compare(a.GetPrefix(), b.GetPrefix()))
	})
	return wire
}

// RoutesFromWire is the reverse of RoutesToWire.
func RoutesFromWire(wire *v1.StreamRoutes) streamorigin.Routes {
	if wire == nil {
		return nil
	}
	routes := streamorigin.Routes{}
	for _, route := range wire.GetRoutes() {
		services := map[string]bool{}
		for _, service := range route.GetServices() {
			services[service] = true
		}
		routes[streamorigin.Route{Host: route.GetHost(), Prefix: route.GetPrefix()}] = services
	}
	return routes
}
