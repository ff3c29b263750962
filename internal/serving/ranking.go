package serving

import (
	"cmp"
	"slices"
)

// priorities are those of a tenant and of a route; the tenant's goes first.
type priorities struct{ tenant, route int }

// ranking numbers the pairs of priorities that a configuration knows.
type ranking struct {
	levels map[priorities]int
	count  int
}

// newRanking numbers the pairs from 0, the most urgent first.
func newRanking(configuration *Configuration) ranking {
	pairs := []priorities{}
	for _, route := range configuration.Routes {
		pairs = append(pairs, priorities{route: route.Priority})
		for _, tenant := range configuration.Tenants {
			pairs = append(pairs, priorities{tenant: tenant.Priority, route: route.Priority})
		}
	}
	slices.SortFunc(pairs, func(a, b priorities) int {
		return cmp.Or(cmp.Compare(a.tenant, b.tenant), cmp.Compare(a.route, b.route))
	})
	pairs = slices.Compact(pairs)
	levels := make(map[priorities]int, len(pairs))
	for level, pair := range pairs {
		levels[pair] = level
	}
	return ranking{levels: levels, count: len(pairs)}
}
