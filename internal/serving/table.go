package serving

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Table looks up the route of a request. It is built from one configuration and immutable.
type Table struct {
	Configuration *Configuration
	byHost        map[string][]*Route
	services      map[string]*Service
	// byKey maps each key to its tenant.
	byKey map[string]*Tenant
	// byName maps each tenant's name to the tenant.
	byName map[string]*Tenant
	levels priorityLevels
	// longestTimeouts holds the longest timeout of the routes of each service.
	longestTimeouts map[string]time.Duration
	// resumable holds the services with routes whose streams may be resumed.
	resumable map[string]bool
}

// NewTable indexes a valid configuration.
func NewTable(configuration *Configuration) *Table {
	table := &Table{
		Configuration: configuration,
		byHost:        map[string][]*Route{},
		services:      map[string]*Service{},
		byKey:         map[string]*Tenant{},
		byName:        map[string]*Tenant{},
		levels:        newPriorityLevels(configuration),

		longestTimeouts: map[string]time.Duration{},
		resumable:       map[string]bool{},
	}
	for index := range configuration.Routes {
		route := &configuration.Routes[index]
		host := strings.ToLower(route.Host)
		table.byHost[host] = append(table.byHost[host], route)
		for _, split := range route.Splits {
			table.longestTimeouts[split.Service] = max(table.longestTimeouts[split.Service], route.Timeout)
			table.resumable[split.Service] = table.resumable[split.Service] || route.Kind == KindStream && route.Resumable
		}
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
		table.byName[tenant.Name] = tenant
		for _, key := range tenant.Keys {
			table.byKey[key] = tenant
		}
	}
	return table
}

// Route returns the route of the host with the longest prefix of the path, or nil. It ignores a port in the host.
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

// LongestTimeout returns the longest timeout of the routes that send requests to the service.
func (t *Table) LongestTimeout(service string) time.Duration { return t.longestTimeouts[service] }

// HasResumableStreams reports whether a route of the service carries streams that may be resumed.
func (t *Table) HasResumableStreams(service string) bool { return t.resumable[service] }

// Tenant returns the tenant of the key, or nil.
func (t *Table) Tenant(key string) *Tenant { return t.byKey[key] }

// TenantNamed returns the tenant with the given name; nil when there is none.
func (t *Table) TenantNamed(name string) *Tenant { return t.byName[name] }

// PriorityLevel returns the priority level of a tenant's requests on a route and the number of levels. Level 0 goes
// first. The tenant is nil for requests without one.
func (t *Table) PriorityLevel(tenant *Tenant, route *Route) (level, levels int) {
	pair := priorityPair{route: route.Priority}
	if tenant != nil {
		pair.tenant = tenant.Priority
	}
	return t.levels.levels[pair], t.levels.count
}

// ChooseService returns the service for one request of the route. draw is a random number, uniform in [0, 1).
func (r *Route) ChooseService(draw float64) string {
	if len(r.Splits) == 1 {
		return r.Splits[0].Service
	}
	total := 0
	for _, split := range r.Splits {
		total += split.Weight
	}
	remaining := draw * float64(total)
	for _, split := range r.Splits {
		remaining -= float64(split.Weight)
		if remaining < 0 {
			return split.Service
		}
	}
	return r.Splits[len(r.Splits)-1].Service
}
