package fleet

import (
	"net/netip"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/internal/settings"
)

const deployments = "../../deploy"

// TestDeploymentsHaveTheSizesOfTheBrief holds both deployments to the users' page.
func TestDeploymentsHaveTheSizesOfTheBrief(t *testing.T) {
	tests := []struct {
		name                          string
		zones                         []string
		between                       time.Duration
		engineService, pageService    string
		engines, pages, gateways, ctl int
	}{
		{"rawabi", []string{"amman-hall-a", "amman-hall-b", "amman-hall-c"}, 500 * time.Microsecond, "lot-assessor", "yard-portal", 18, 3, 3, 3},
		{"empleandes", []string{"sala-surquillo", "sala-ate", "sala-callao", "sala-chorrillos"}, 1500 * time.Microsecond, "motor-emparejo", "portal-bolsa", 12, 4, 4, 3},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			directory := filepath.Join(deployments, test.name)
			description, err := LoadDescription(directory)
			require.NoError(t, err)
			var zones []string
			for _, zone := range description.Zones {
				zones = append(zones, zone.Name)
			}
			require.Equal(t, test.zones, zones)
			require.Equal(t, Latency{BetweenZones: test.between, ToClients: 3 * time.Millisecond}, description.Latency)
			require.Equal(t, test.engineService, description.Services[0].Name)
			require.Equal(t, test.engines, replicas(description.Services[0]))
			require.Equal(t, test.pageService, description.Services[1].Name)
			require.Equal(t, test.pages, replicas(description.Services[1]))

			gateways, err := filepath.Glob(filepath.Join(directory, "settings", "gateway-*.yaml"))
			require.NoError(t, err)
			require.Len(t, gateways, test.gateways)
			for _, path := range gateways {
				loaded, err := settings.LoadGateway(settings.Source{Path: path})
				require.NoError(t, err)
				require.Len(t, loaded.ZoneLatency, len(test.zones)-1)
				require.True(t, strings.HasPrefix(loaded.Listen, description.Network))
			}
			controllers, err := filepath.Glob(filepath.Join(directory, "settings", "controller-*.yaml"))
			require.NoError(t, err)
			require.Len(t, controllers, test.ctl)
			for _, path := range controllers {
				loaded, err := settings.LoadController(settings.Source{Path: path})
				require.NoError(t, err)
				require.Equal(t, description.MachineList.Address, loaded.MachineList)
			}
		})
	}
}

func replicas(service Service) int {
	sum := 0
	for _, count := range service.Replicas {
		sum += count
	}
	return sum
}

func TestTopologyOfRawabi(t *testing.T) {
	description, err := LoadDescription(filepath.Join(deployments, "rawabi"))
	require.NoError(t, err)
	topology := NewTopology(description.On("127.9"))
	for _, test := range []struct {
		one, other string
		want       time.Duration
	}{
		{"127.9.1.5", "127.9.1.20", 0},
		{"127.9.1.5", "127.9.2.20", 500 * time.Microsecond},
		{"127.9.100.1", "127.9.3.10", 3 * time.Millisecond},
		{"127.0.0.1", "127.9.3.10", 0},
	} {
		require.Equal(t, test.want, topology.Between(netip.MustParseAddr(test.one), netip.MustParseAddr(test.other)))
	}
}

func TestBadDescriptions(t *testing.T) {
	_, err := LoadDescription(t.TempDir())
	require.ErrorContains(t, err, "--deployment")
	for _, change := range []func(*Description){
		func(d *Description) { d.Network = "10.1" },
		func(d *Description) { d.Zones[0].Subnet = 0 },
		func(d *Description) { d.Services[0].Type = "oven" },
		func(d *Description) { d.Services[0].Replicas["nowhere"] = 1 },
	} {
		description, err := LoadDescription(filepath.Join(deployments, "rawabi"))
		require.NoError(t, err)
		change(&description)
		require.Error(t, description.check())
	}
}
