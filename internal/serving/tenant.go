package serving

import "github.com/gravitational/trace"

// Tenant is one of those who share the deployment and do not trust one another.
type Tenant struct {
	// Name identifies the tenant to back ends, in counts of usage and in logs.
	Name string
	// Keys are what its callers prove themselves with. They are secrets: no log, metric, error or
	// message to a back end holds one.
	Keys []string
	// Priority ranks its requests before the priorities of routes; 0 goes first.
	Priority int
}

// checkTenants refuses tenants without a name or with the name of another, and keys that are empty
// or stand twice. Keys are named by their place, since they are secret.
func (c *Configuration) checkTenants() error {
	type place struct {
		tenant string
		index  int
	}
	names := make(map[string]bool, len(c.Tenants))
	holders := map[string]place{}
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
			if held, taken := holders[key]; taken {
				return trace.BadParameter("key %d of tenant %q is also key %d of tenant %q; take it from one of them",
					index+1, tenant.Name, held.index+1, held.tenant)
			}
			holders[key] = place{tenant: tenant.Name, index: index}
		}
	}
	return nil
}
