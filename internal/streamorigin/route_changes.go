package streamorigin

import (
	"maps"
	"slices"
	"time"
)

// MaxRouteChanges bounds the routes of RouteChanges.
const MaxRouteChanges = 4096

// ChangeRetention is how long a change of a route is kept: a relay may learn of it that much later than others, and send streams by the former
// route until then.
const ChangeRetention = MaxLifetime + 30*time.Second

// RouteChanges are the routes that have changed within ChangeRetention. It is not safe for concurrent use.
type RouteChanges struct {
	changedAt map[RouteID]time.Duration
	// completeSince is the time since which no route has changed that is not in changedAt.
	completeSince time.Duration
}

// NewRouteChanges returns changes that are complete since the given time.
func NewRouteChanges(completeSince time.Duration) *RouteChanges {
	return &RouteChanges{changedAt: map[RouteID]time.Duration{}, completeSince: completeSince}
}

// Add records that routes change now. Where there are too many, those that have not changed for the longest time give way.
func (c *RouteChanges) Add(now time.Duration, routes map[Route]bool) {
	for route := range routes {
		c.changedAt[route.ID()] = now
	}
	c.enforceBound(now)
}

// Restore adds changes that another process has recorded, as if the routes had changed now.
func (c *RouteChanges) Restore(now time.Duration, routes []uint64) {
	for _, route := range routes {
		c.changedAt[RouteID(route)] = now
	}
	c.enforceBound(now)
}

func (c *RouteChanges) enforceBound(now time.Duration) {
	if DropOldest(c.changedAt, len(c.changedAt)-MaxRouteChanges) {
		c.completeSince = now
	}
}

// isKept reports whether a change still counts.
func isKept(now, changedAt time.Duration) bool { return now-changedAt < ChangeRetention }

// Expire forgets the changes before which no stream has begun that may still go on.
func (c *RouteChanges) Expire(now time.Duration) {
	maps.DeleteFunc(c.changedAt, func(_ RouteID, at time.Duration) bool { return !isKept(now, at) })
}

// MarkIncomplete records that any route may have changed until now.
func (c *RouteChanges) MarkIncomplete(now time.Duration) { c.completeSince = now }

// CompleteSince returns the time since which no other route has changed.
func (c *RouteChanges) CompleteSince() time.Duration { return c.completeSince }

// IsEmpty reports whether no route has changed within ChangeRetention.
func (c *RouteChanges) IsEmpty(now time.Duration) bool {
	for _, at := range c.changedAt {
		if isKept(now, at) {
			return false
		}
	}
	return true
}

// All returns the routes, sorted.
func (c *RouteChanges) All() []RouteID { return slices.Sorted(maps.Keys(c.changedAt)) }

// HaveChanged reports whether one of some routes may have changed within ChangeRetention.
func (c *RouteChanges) HaveChanged(now time.Duration, routes []RouteID) bool {
	hasChanged := func(route RouteID) bool {
		at, isKnown := c.changedAt[route]
		return isKnown && isKept(now, at)
	}
	return isKept(now, c.completeSince) || slices.ContainsFunc(routes, hasChanged)
}
