package streamorigin

import (
	"maps"
	"strings"
	"time"
)

// RouteServices knows to which services each route leads, and has led until recently: a stream goes on at the service that began it,
// and a route may be split between several, or lead to another one since. It is not safe for concurrent use.
type RouteServices struct{ routes map[Route]*routeServices }

// Route identifies a route over changes of the configuration.
type Route struct{ Host, Prefix string }

// routeServices holds the services of one route.
type routeServices struct {
	current map[string]bool
	// leftAt is when the route stopped leading to a service.
	leftAt map[string]time.Duration
}

// NewRouteServices returns the knowledge before the first configuration.
func NewRouteServices() *RouteServices { return &RouteServices{routes: map[Route]*routeServices{}} }

// Update applies a configuration: the services of each route whose streams may be resumed. It returns the services that routes have led
// to, of those which lead to several now, or to another one than before.
func (r *RouteServices) Update(now time.Duration, routes map[Route]map[string]bool) (affected map[string]bool) {
	affected = map[string]bool{}
	former := maps.Clone(r.routes)
	for route, services := range routes {
		known := r.routes[route]
		if known == nil {
			known = &routeServices{current: former[parentOf(route, former)].services(), leftAt: map[string]time.Duration{}}
			r.routes[route] = known
		}
		r.change(now, known, services, affected)
	}
	for route, known := range former {
		if routes[route] != nil {
			continue
		}
		if parent := r.routes[parentOf(route, routes)]; parent != nil { // it carries the requests of the route that is gone
			r.lead(now, parent, known.current, affected)
		}
		known.update(now, nil)
		if len(known.leftAt) == 0 {
			delete(r.routes, route)
		}
	}
	return affected
}

// change applies the services of a route, and adds those that it has led to if they are not certain any more.
func (r *RouteServices) change(now time.Duration, route *routeServices, services, affected map[string]bool) {
	former, wasSingle := route.current, route.single(now, MaxLifetime) != ""
	route.update(now, services)
	if wasSingle && route.single(now, MaxLifetime) == "" {
		maps.Copy(affected, former)
	}
}

// lead records that a route carries requests that other services had until now.
func (r *RouteServices) lead(now time.Duration, route *routeServices, services, affected map[string]bool) {
	for service := range services {
		if !route.current[service] {
			route.leftAt[service] = now
			affected[service] = true
		}
	}
}

// parentOf returns the route that carries the requests of a route where that one is missing: the one of its host with the longest prefix.
func parentOf[Value any](route Route, routes map[Route]Value) Route {
	parent := Route{}
	for other := range routes {
		isParent := other != route && other.Host == route.Host && strings.HasPrefix(route.Prefix, other.Prefix)
		if isParent && len(other.Prefix) >= len(parent.Prefix) {
			parent = other
		}
	}
	return parent
}

// services returns the services of a route; nil for no route.
func (s *routeServices) services() map[string]bool {
	if s == nil {
		return nil
	}
	return s.current
}

func (s *routeServices) update(now time.Duration, services map[string]bool) {
	for service := range s.current {
		if !services[service] {
			s.leftAt[service] = now
		}
	}
	for service, at := range s.leftAt {
		if services[service] || now-at > MaxLifetime {
			delete(s.leftAt, service)
		}
	}
	s.current = services
}

// single returns the only service to which the route has led within a lifetime; empty if there are several or none.
func (s *routeServices) single(now, lifetime time.Duration) string {
	single := ""
	for service := range s.current {
		if single != "" {
			return ""
		}
		single = service
	}
	for service, at := range s.leftAt {
		if now-at >= lifetime || service == single {
			continue
		}
		if single != "" {
			return ""
		}
		single = service
	}
	return single
}

// IsSingle reports whether a route has led to one service only within the lifetime of a stream, as far as this process knows.
func (r *RouteServices) IsSingle(now time.Duration, route Route, lifetime time.Duration) bool {
	known := r.routes[route]
	return known != nil && known.single(now, lifetime) != ""
}
