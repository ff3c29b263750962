package serving

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// withTenants returns a configuration with two routes and the tenants.
func withTenants(tenants ...Tenant) *Configuration {
	return &Configuration{
		Number: 1, RequireKeys: true, Tenants: tenants, Services: []Service{{Name: "s"}},
		Routes: []Route{
			{Name: "urgent", Host: "h", Prefix: "/u/", Timeout: time.Second, Splits: []Split{{Service: "s", Weight: 1}}},
			{Name: "slow", Host: "h", Prefix: "/s/", Timeout: time.Second, Priority: 2, Splits: []Split{{Service: "s", Weight: 1}}},
		},
	}
}

func TestCheckRefusesInvalidTenants(t *testing.T) {
	for name, row := range map[string]struct {
		tenants []Tenant
		want    string
	}{
		"no name":            {[]Tenant{{Name: "a"}, {Keys: []string{"secret"}}}, "tenant 2 of the list has no name; give it one"},
		"duplicate name":     {[]Tenant{{Name: "a"}, {Name: "a"}}, `tenant "a" stands twice`},
		"key of two tenants": {[]Tenant{{Name: "a", Keys: []string{"x", "secret"}}, {Name: "b", Keys: []string{"secret"}}}, `key 1 of tenant "b" is also key 2 of tenant "a"`},
		"duplicate key":      {[]Tenant{{Name: "a", Keys: []string{"secret", "secret"}}}, `key 2 of tenant "a" is also key 1 of tenant "a"`},
		"empty key":          {[]Tenant{{Name: "a", Keys: []string{""}}}, `key 1 of tenant "a" is empty`},
	} {
		err := withTenants(row.tenants...).Check()
		require.ErrorContains(t, err, row.want, name)
		require.NotContains(t, err.Error(), "secret", name)
	}
	require.NoError(t, withTenants(Tenant{Name: "a", Keys: []string{"x", "y"}}, Tenant{Name: "b"}).Check(), "a tenant without keys is valid")
}

func TestKeysIdentifyTenants(t *testing.T) {
	table := NewTable(withTenants(Tenant{Name: "a", Keys: []string{"x", "y"}}, Tenant{Name: "b", Keys: []string{"z"}}))
	require.Equal(t, "a", table.Tenant("y").Name)
	require.Equal(t, "b", table.Tenant("z").Name)
	require.Nil(t, table.Tenant("X"))
	require.Nil(t, table.Tenant(""))
}

// The priority of a tenant takes precedence over that of a route. Requests without a tenant are ranked like those of
// the tenants with priority 0.
func TestTenantPriorityPrecedesRoutePriority(t *testing.T) {
	configuration := withTenants(Tenant{Name: "first"}, Tenant{Name: "second", Priority: 3})
	table := NewTable(configuration)
	urgent, slow := &configuration.Routes[0], &configuration.Routes[1]
	first, second := &configuration.Tenants[0], &configuration.Tenants[1]
	for level, pair := range []struct {
		tenant *Tenant
		route  *Route
	}{{first, urgent}, {first, slow}, {second, urgent}, {second, slow}} {
		got, levels := table.PriorityLevel(pair.tenant, pair.route)
		require.Equal(t, level, got)
		require.Equal(t, 4, levels)
	}
	level, _ := table.PriorityLevel(nil, slow)
	require.Equal(t, 1, level)
}
