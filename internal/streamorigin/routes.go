package streamorigin

import (
	"maps"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/hazelpitch/hazelpitch/internal/serving"
)

// Route identifies a route over changes of the configuration.
type Route struct{ Host, Prefix string }

// RouteID is the hash by which processes name a route to each other.
type RouteID uint64

// RouteOf returns the identity of a configured route.
func RouteOf(route *serving.Route) Route { return Route{Host: route.Host, Prefix: route.Prefix} }

// ID returns the route's hash.
func (r Route) ID() RouteID { return RouteID(xxhash.Sum64String(r.Host + "\x00" + r.Prefix)) }

// Routes are the services to which the routes of streams lead.
type Routes map[Route]map[string]bool

// RoutesOf returns the routes of streams in a configuration, also those whose streams may not be resumed: a change may allow it.
func RoutesOf(configuration *serving.Configuration) Routes {
	routes := Routes{}
	for index := range configuration.Routes {
		route := &configuration.Routes[index]
		if route.Kind != serving.KindStream {
			continue
		}
		services := map[string]bool{}
		for _, split := range route.Splits {
			services[split.Service] = true
		}
		routes[RouteOf(route)] = services
	}
	return routes
}

// ChangedTo returns the routes whose requests may go to other services before a change than after it, by the configuration of either side.
// A route that is added takes requests from the one with the next shorter prefix, and leaves them to that one when it is removed; a
// process that has not learned of the change sends them by the other route. A route that is removed may come back elsewhere.
func (r Routes) ChangedTo(next Routes) map[Route]bool {
	changed := map[Route]bool{}
	var removed []Route
	for route, services := range r {
		there, isKept := next[route]
		if !isKept {
			removed = append(removed, route)
		}
		if !isKept || !maps.Equal(services, there) {
			changed[route] = true
		}
	}
	r.addParents(removed, next, changed)
	if len(next) > len(r)-len(removed) {
		next.addParents(next.missingIn(r), r, changed)
	}
	return changed
}

// missingIn returns the routes that another configuration lacks.
func (r Routes) missingIn(other Routes) (missing []Route) {
	for route := range r {
		if _, isKept := other[route]; !isKept {
			missing = append(missing, route)
		}
	}
	return missing
}

// addParents adds routes that another configuration lacks, and those that carry their requests there, if these lead elsewhere.
func (r Routes) addParents(missing []Route, other Routes, changed map[Route]bool) {
	if len(missing) == 0 {
		return
	}
	byHost := other.byHost()
	for _, route := range missing {
		parent, hasParent := parentOf(route, byHost[route.Host])
		if hasParent && !maps.Equal(r[route], other[parent]) {
			changed[route], changed[parent] = true, true
		}
	}
}

func (r Routes) byHost() map[string][]Route {
	routes := map[string][]Route{}
	for route := range r {
		routes[route.Host] = append(routes[route.Host], route)
	}
	return routes
}

// parentOf returns the route, of those of the same host, that carries the requests of a route where that one is missing: the one with the
// longest prefix.
func parentOf(route Route, ofHost []Route) (parent Route, isFound bool) {
	for _, other := range ofHost {
		isParent := other != route && strings.HasPrefix(route.Prefix, other.Prefix)
		if isParent && (!isFound || len(other.Prefix) >= len(parent.Prefix)) {
			parent, isFound = other, true
		}
	}
	return parent, isFound
}
