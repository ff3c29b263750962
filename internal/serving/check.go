package serving

import (
	"strings"

	"github.com/gravitational/trace"
)

// Check returns an error if the configuration is invalid as a whole, with the place and the remedy, or nil. An
// invalid configuration must never be applied.
func (c *Configuration) Check() error {
	services, err := c.checkServices()
	if err != nil {
		return trace.Wrap(err)
	}
	if err := c.checkTenants(); err != nil {
		return trace.Wrap(err)
	}
	type location struct{ host, prefix string }
	places := map[location]string{}
	for index := range c.Routes {
		route := &c.Routes[index]
		if err := route.check(services); err != nil {
			return trace.Wrap(err)
		}
		location := location{host: strings.ToLower(route.Host), prefix: route.Prefix}
		if existing, exists := places[location]; exists {
			return trace.BadParameter("routes %q and %q share host %q and prefix %q; give each its own", existing, route.Name, route.Host, route.Prefix)
		}
		places[location] = route.Name
	}
	return nil
}

func (c *Configuration) checkServices() (map[string]bool, error) {
	services := make(map[string]bool, len(c.Services))
	for _, service := range c.Services {
		if service.Name == "" {
			return nil, trace.BadParameter("a service has no name")
		}
		if services[service.Name] {
			return nil, trace.BadParameter("service %q stands twice; give each its own name", service.Name)
		}
		services[service.Name] = true
	}
	return services, nil
}

func (r *Route) check(services map[string]bool) error {
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		return trace.BadParameter("route %q has the prefix %q; begin and end it with a slash", r.Name, r.Prefix)
	}
	if r.Timeout <= 0 {
		return trace.BadParameter("route %q has no time-out; set one above 0", r.Name)
	}
	total := 0
	for _, split := range r.Splits {
		if !services[split.Service] {
			return trace.BadParameter("route %q names the service %q, which is not among the services; add it there", r.Name, split.Service)
		}
		if split.Weight < 0 {
			return trace.BadParameter("route %q gives the service %q the weight %d; set one of at least 0", r.Name, split.Service, split.Weight)
		}
		total += split.Weight
	}
	if total == 0 {
		return trace.BadParameter("route %q has weights that add up to 0; give one service a weight", r.Name)
	}
	return nil
}
