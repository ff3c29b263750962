package serving

import (
	"cmp"
	"slices"
	"strings"
)

// Table finds the route of a request. It is made from one configuration and never changes.
type Table struct {
	Configuration *Configuration
	byHost        map[string][]*Route
	services      map[string]*Service
	// byKey holds the tenants by each of their keys.
	byKey map[string]*Tenant
	ranks ranking
}

// NewTable indexes a configuration that has been checked.
func NewTable(configuration *Configuration) *Table {
	table := &Table{
		Configuration: configuration,
		byHost:        map[string][]*Route{},
		services:      map[string]*Service{},
		byKey:         map[string]*Tenant{},
		ranks:         newRanking(configuration),
	}
	for index := range configuration.Routes {
		route := &configuration.Routes[index]
		host := strings.ToLower(route.Host)
		table.byHost[host] = append(table.byHost[host], route)
	}
	for _, routes := range table.byHost {
		slices.SortFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for index := range configuration.Services {
		service := &configuration.Services[index]
		table.services[service.Name] = service
	}
	for index := range configuration.Tenants {
		tenant := &configuration.Tenants[index]
		for _, key := range tenant.Keys {
			table.byKey[key] = tenant
		}
	}
	return table
}

// Route returns the route with the host and the longest prefix that begins the path, or
// nil. A port in the host is ignored.
func (t *Table) Route(host, path string) *Route {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 {
		host = host[:colon]
	}
	for _, route := range t.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

// Service returns the service with the name, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Tenant returns the tenant that holds the key, or nil.
func (t *Table) Tenant(key string) *Tenant { return t.byKey[key] }

// PriorityLevel ranks a request of a tenant, nil for nobody, on a route: 0 goes first, and there are so many
// levels in all.
func (t *Table) PriorityLevel(tenant *Tenant, route *Route) (level, levels int) {
	pair := priorities{route: route.Priority}
	if tenant != nil {
		pair.tenant = tenant.Priority
	}
	return t.ranks.levels[pair], t.ranks.count
}

// ChooseService returns the service for one request of the route. The draw is uniform in [0, 1).
func (r *Route) ChooseService(draw float64) string {
	if len(r.Splits) == 1 {
		return r.Splits[0].Service
	}
	total := 0
	for _, split := range r.Splits {
		total += split.Weight
	}
	left := draw * float64(total)
	for _, split := range r.Splits {
		left -= float64(split.Weight)
		if left < 0 {
			return split.Service
		}
	}
	return r.Splits[len(r.Splits)-1].Service
}
