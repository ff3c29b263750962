package settings_test

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/internal/settings"
)

const siteControllerFile = `name: core-1
zone: z1
listen: 127.0.0.1:7400
operator_listen: 127.0.0.1:7402
admin_listen: 127.0.0.1:7401
data_directory: /tmp/core-1
seeds: ["127.0.0.1:7402"]
listing_address: 127.0.0.1:7403
`

func TestDutiesOfASiteController(t *testing.T) {
	loaded, err := settings.LoadSiteController(settings.Source{Path: write(t, siteControllerFile)})
	require.NoError(t, err)
	require.Empty(t, loaded.Duties)
	require.Equal(t, 1.0, loaded.OnDemandShare, "no risk unless the operator takes it")
	require.Equal(t, 5*time.Second, loaded.UsageWindow)

	loaded, err = settings.LoadSiteController(settings.Source{Path: write(t, siteControllerFile+"duties: [a, b]\non_demand_share: 0.5\nusage_window: 2s\n")})
	require.NoError(t, err)
	require.Equal(t, []string{"a", "b"}, loaded.Duties)
	require.Equal(t, 0.5, loaded.OnDemandShare)
	require.Equal(t, 2*time.Second, loaded.UsageWindow)

	for text, want := range map[string]string{
		"on_demand_share: 1.5\n": "on_demand_share: 1.5 is more than all replicas; write a part from 0 to 1",
		"on_demand_share: -1\n":  "on_demand_share: -1 is below zero",
		"duty_rate: 0\n":         "duty_rate: 0 is not above zero",
		"usage_window: 0s\n":     "usage_window: 0s is not above zero",
	} {
		_, err = settings.LoadSiteController(settings.Source{Path: write(t, siteControllerFile+text)})
		require.ErrorContains(t, err, want, strings.TrimSpace(text))
	}
}

// Guards against a machine with several addresses whose peers see an address other than the one that it listens on.
func TestSourceAddressOfASiteController(t *testing.T) {
	loaded, err := settings.LoadSiteController(settings.Source{Path: write(t, siteControllerFile)})
	require.NoError(t, err)
	require.Empty(t, loaded.Controller("site").SourceAddress)

	loaded, err = settings.LoadSiteController(settings.Source{Path: write(t, siteControllerFile+"source_address: 127.0.0.9\n")})
	require.NoError(t, err)
	require.Equal(t, "127.0.0.9", loaded.Controller("site").SourceAddress)

	_, err = settings.LoadSiteController(settings.Source{Path: write(t, siteControllerFile+"source_address: here\n")})
	require.ErrorContains(t, err, "source_address")
}
