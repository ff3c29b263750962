package streamorigin

import "time"

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

// Update applies a configuration: the services of each route whose streams may be resumed. It returns the services of the routes which
// lead to several now, or to another one than before.
func (r *RouteServices) Update(now time.Duration, routes map[Route]map[string]bool) (affected map[string]bool) {
	affected = map[string]bool{}
	for route, services := range routes {
		known := r.routes[route]
		if known == nil {
			r.routes[route] = &routeServices{current: services, leftAt: map[string]time.Duration{}}
			continue
		}
		wasSingle := known.single(now, MaxLifetime) != ""
		former := known.current
		known.update(now, services)
		if wasSingle && known.single(now, MaxLifetime) == "" {
			for service := range former {
				affected[service] = true
			}
		}
	}
	for route, known := range r.routes {
		if routes[route] == nil {
			known.update(now, nil)
		}
		if len(known.current)+len(known.leftAt) == 0 {
			delete(r.routes, route)
		}
	}
	return affected
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
