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

// RouteOf returns the identity of a configured route. Hosts are compared without regard to case.
func RouteOf(route *serving.Route) Route {
	return Route{Host: strings.ToLower(route.Host), Prefix: route.Prefix}
}

// ID returns the route's hash.
func (r Route) ID() RouteID { return RouteID(xxhash.Sum64String(r.Host + "\x00" + r.Prefix)) }

// HashesOf encodes the identities of routes for other processes.
func HashesOf(routes []RouteID) []uint64 {
	hashes := make([]uint64, 0, len(routes))
	for _, route := range routes {
		hashes = append(hashes, uint64(route))
	}
	return hashes
}

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

// ChangedTo returns the routes that are added, removed or led to other services by another configuration; none where either is not known.
func (r Routes) ChangedTo(next Routes) map[Route]bool {
	changed := map[Route]bool{}
	if r == nil || next == nil {
		return changed
	}
	for route, services := range r {
		if there, isKept := next[route]; !isKept || !maps.Equal(services, there) {
			changed[route] = true
		}
	}
	for route := range next {
		if _, isKept := r[route]; !isKept {
			changed[route] = true
		}
	}
	return changed
}

// maxNarrowerRoutes bounds the routes that RoutesToCheck returns besides the route itself.
const maxNarrowerRoutes = 64

// RoutesToCheck returns the routes that must not have changed within a time, so that this route has carried the requests of a path all the
// while: itself, and all narrower ones that the path has room for. It returns false for a path with too many.
func (r Route) RoutesToCheck(path string) (routes []RouteID, isComplete bool) {
	routes = []RouteID{r.ID()}
	for index := len(r.Prefix); index < len(path); index++ {
		if path[index] != '/' {
			continue
		}
		if len(routes) > maxNarrowerRoutes {
			return nil, false
		}
		routes = append(routes, Route{Host: r.Host, Prefix: path[:index+1]}.ID())
	}
	return routes, true
}

// carrierOf returns the route that carries the requests of a prefix: the route itself, or the one with the next shorter prefix.
func (r Routes) carrierOf(route Route) (carrier Route, isFound bool) {
	for end := len(route.Prefix); end > 0; end = strings.LastIndexByte(route.Prefix[:end-1], '/') + 1 {
		carrier = Route{Host: route.Host, Prefix: route.Prefix[:end]}
		if _, isFound = r[carrier]; isFound {
			return carrier, true
		}
	}
	return Route{}, false
}
