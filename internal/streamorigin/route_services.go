package streamorigin

import (
	"maps"
	"time"
)

// RouteServices knows to which services each route leads, and which routes have changed until recently: a stream goes on at the service
// that began it, and a route may be split between several, or lead to another one since. It knows nothing of the time before its first
// configuration. It is not safe for concurrent use.
type RouteServices struct {
	current Routes
	changes *RouteChanges
	// begins is when the first configuration was applied.
	begins time.Duration
}

// NewRouteServices returns the knowledge before the first configuration.
func NewRouteServices() *RouteServices {
	return &RouteServices{changes: NewRouteChanges(-ChangeRetention)}
}

// Update applies a configuration. It returns the services of the routes whose requests may go elsewhere since and were certain before: the
// streams of these services have to be recorded from now on.
func (r *RouteServices) Update(now time.Duration, routes Routes) (affected map[string]bool) {
	affected = map[string]bool{}
	if r.current == nil {
		r.begins = now
	}
	changed := r.current.ChangedTo(routes)
	for route := range changed {
		carrier, isFound := r.current.carrierOf(route)
		if isFound && r.IsSingle(now, carrier, route.Prefix) {
			maps.Copy(affected, r.current[carrier])
		}
	}
	r.changes.Expire(now)
	r.changes.Add(now, changed)
	r.current = routes
	return affected
}

// MayMissChanges reports whether routes may have changed that this process takes for unchanged, given that some have: before its first
// configuration, or, by another process that counts from later on, longer ago than it keeps changes.
func (r *RouteServices) MayMissChanges(now time.Duration) bool {
	return r.current == nil || now-r.begins < ChangeRetention || r.changes.IsEmpty(now)
}

// IsSingle reports whether the requests of a path, which a route carries, have gone to one service only within the time that a stream can last,
// as far as this process knows.
func (r *RouteServices) IsSingle(now time.Duration, route Route, path string) bool {
	routes, isComplete := route.RoutesToCheck(path)
	return isComplete && len(r.current[route]) == 1 && !r.changes.HaveChanged(now, routes)
}
