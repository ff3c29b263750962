package serving

import "github.com/gravitational/trace"

// Tenant is one of several parties that share the deployment and do not trust each other.
type Tenant struct {
	// Name identifies the tenant to back ends, in usage counts and in logs.
	Name string
	// Keys authenticate its callers. They are secret: no log, metric, error or message to a back end contains one.
	Keys []string
	// Priority takes precedence over the priorities of routes; 0 goes first.
	Priority int
}

// checkTenants rejects tenants without a name or with the name of another, and empty or duplicate keys. Its errors
// give the position of a key, since keys are secret.
func (c *Configuration) checkTenants() error {
	type keyLocation struct {
		tenant string
		index  int
	}
	names := make(map[string]bool, len(c.Tenants))
	keyLocations := map[string]keyLocation{}
	for position, tenant := range c.Tenants {
		if tenant.Name == "" {
			return trace.BadParameter("tenant %d of the list has no name; give it one", position+1)
		}
		if names[tenant.Name] {
			return trace.BadParameter("tenant %q stands twice; give each its own name", tenant.Name)
		}
		names[tenant.Name] = true
		for index, key := range tenant.Keys {
			if key == "" {
				return trace.BadParameter("key %d of tenant %q is empty; leave it out or fill it in", index+1, tenant.Name)
			}
			if existing, exists := keyLocations[key]; exists {
				return trace.BadParameter("key %d of tenant %q is also key %d of tenant %q; take it from one of them",
					index+1, tenant.Name, existing.index+1, existing.tenant)
			}
			keyLocations[key] = keyLocation{tenant: tenant.Name, index: index}
		}
	}
	return nil
}
