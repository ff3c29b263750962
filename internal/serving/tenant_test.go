package serving

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// keyed returns a configuration with two routes and the tenants.
func keyed(tenants ...Tenant) *Configuration {
	return &Configuration{
		Number: 1, RequireKeys: true, Tenants: tenants, Services: []Service{{Name: "s"}},
		Routes: []Route{
			{Name: "urgent", Host: "h", Prefix: "/u/", Timeout: time.Second, Splits: []Split{{Service: "s", Weight: 1}}},
			{Name: "slow", Host: "h", Prefix: "/s/", Timeout: time.Second, Priority: 2, Splits: []Split{{Service: "s", Weight: 1}}},
		},
	}
}

func TestTenantsThatMakeNoSense(t *testing.T) {
	for name, row := range map[string]struct {
		tenants []Tenant
		want    string
	}{
		"no name":            {[]Tenant{{Name: "a"}, {Keys: []string{"secret"}}}, "tenant 2 of the list has no name; give it one"},
		"one name twice":     {[]Tenant{{Name: "a"}, {Name: "a"}}, `tenant "a" stands twice`},
		"one key for two":    {[]Tenant{{Name: "a", Keys: []string{"x", "secret"}}, {Name: "b", Keys: []string{"secret"}}}, `key 1 of tenant "b" is also key 2 of tenant "a"`},
		"one key twice":      {[]Tenant{{Name: "a", Keys: []string{"secret", "secret"}}}, `key 2 of tenant "a" is also key 1 of tenant "a"`},
		"a key that is none": {[]Tenant{{Name: "a", Keys: []string{""}}}, `key 1 of tenant "a" is empty`},
	} {
		err := keyed(row.tenants...).Check()
		require.ErrorContains(t, err, row.want, name)
		require.NotContains(t, err.Error(), "secret", name)
	}
	require.NoError(t, keyed(Tenant{Name: "a", Keys: []string{"x", "y"}}, Tenant{Name: "b"}).Check(), "a tenant whose keys were all taken away")
}

func TestKeysNameTheirTenants(t *testing.T) {
	table := NewTable(keyed(Tenant{Name: "a", Keys: []string{"x", "y"}}, Tenant{Name: "b", Keys: []string{"z"}}))
	require.Equal(t, "a", table.Tenant("y").Name)
	require.Equal(t, "b", table.Tenant("z").Name)
	require.Nil(t, table.Tenant("X"))
	require.Nil(t, table.Tenant(""))
}

// The priority of a tenant goes before that of a route, and nobody's requests are ranked as those of
// the first tenants.
func TestPrioritiesOfTenantsGoBeforeThoseOfRoutes(t *testing.T) {
	configuration := keyed(Tenant{Name: "first"}, Tenant{Name: "second", Priority: 3})
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
