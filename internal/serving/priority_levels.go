package serving

import (
	"cmp"
	"slices"
)

// priorityPair is the priority of a tenant and of a route; the tenant's takes precedence.
type priorityPair struct{ tenant, route int }

// priorityLevels numbers the pairs of priorities of a configuration.
type priorityLevels struct {
	levels map[priorityPair]int
	count  int
}

// newPriorityLevels numbers the pairs from 0, the most urgent first.
func newPriorityLevels(configuration *Configuration) priorityLevels {
	pairs := []priorityPair{}
	for _, route := range configuration.Routes {
		pairs = append(pairs, priorityPair{route: route.Priority})
		for _, tenant := range configuration.Tenants {
			pairs = append(pairs, priorityPair{tenant: tenant.Priority, route: route.Priority})
		}
	}
	slices.SortFunc(pairs, func(a, b priorityPair) int {
		return cmp.Or(cmp.Compare(a.tenant, b.tenant), cmp.Compare(a.route, b.route))
	})
	pairs = slices.Compact(pairs)
	levels := make(map[priorityPair]int, len(pairs))
	for level, pair := range pairs {
		levels[pair] = level
	}
	return priorityLevels{levels: levels, count: len(pairs)}
}
