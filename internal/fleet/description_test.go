package fleet

import (
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/internal/settings"
)

const deployments = "../../deploy"

// TestDeploymentSizes checks the zones, latencies and replica counts of both deployments.
func TestDeploymentSizes(t *testing.T) {
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
	topology := NewTopology(description.OnNetwork("127.9"))
	for _, test := range []struct {
		one, other string
		want       time.Duration
	}{
		{"127.9.1.5", "127.9.1.20", 0},
		{"127.9.1.5", "127.9.2.20", 500 * time.Microsecond},
		{"127.9.100.1", "127.9.3.10", 3 * time.Millisecond},
		{"127.0.0.1", "127.9.3.10", 0},
	} {
		require.Equal(t, test.want, topology.LatencyBetween(netip.MustParseAddr(test.one), netip.MustParseAddr(test.other)))
	}
}

func TestInvalidDescriptions(t *testing.T) {
	_, err := LoadDescription(t.TempDir())
	require.ErrorContains(t, err, "--deployment")
	text, err := os.ReadFile(filepath.Join(deployments, "rawabi", DescriptionFile))
	require.NoError(t, err)
	for name, row := range map[string]struct{ old, new, want string }{
		"unknown key":     {"client_subnet:", "client_subnets:", ":11:1: client_subnets: unknown key; did you mean client_subnet?"},
		"no loopback":     {`network: "127.41"`, `network: "10.1"`, ":6:10: network: \"10.1\" is no loopback network"},
		"number":          {`network: "127.41"`, `network: 127.41`, "network: 127.41 has the wrong type or unit; write text, in quotes"},
		"subnet 0":        {"subnet: 1}", "subnet: 0}", "zones[0].subnet: 0 is no subnet"},
		"clients' subnet": {"subnet: 1}", "subnet: 100}", "zones[0].subnet: 100 is no subnet"},
		"other network":   {`"127.41.1.6:7400"`, `"127.42.1.6:7400"`, "machine_list.address: \"127.42.1.6:7400\" is not on network"},
		"host name":       {`"127.41.1.6:7400"`, "list:7400", "machine_list.address: \"list:7400\" is not IP:port"},
		"no unit":         {"lag: 2s", "lag: 2", "machine_list.lag: 2 is not a duration"},
		"service type":    {"type: engine", "type: engines", "services[0].type: \"engines\" is not known; did you mean engine?"},
		"role":            {"[prefill, prefill,", "[prefil, prefill,", "services[0].roles[0]: \"prefil\" is not known; did you mean prefill?"},
		"zone":            {"amman-hall-a: 6", "nowhere: 6", "services[0].replicas.nowhere: is not one of the zones"},
		"fault":           {"services:", "faults: [{fault: burn, zone: amman-hall-a}]\nservices:", "faults[0].fault: \"burn\" is not known; write one of kill, pause, cut-off"},
		"no target":       {"services:", "faults: [{fault: kill}]\nservices:", "faults[0]: needs one target; give either process or zone"},
		"two targets":     {"services:", "faults: [{fault: kill, process: a, zone: amman-hall-a}]\nservices:", "faults[0]: needs one target"},
		"fault's zone":    {"services:", "faults: [{fault: kill, zone: a}]\nservices:", "faults[0].zone: \"a\" is not one of the zones"},
		"negative time":   {"services:", "faults: [{fault: kill, process: a, at: -1s}]\nservices:", "faults[0].at: -1s is below zero"},
		"endless pause":   {"services:", "faults: [{fault: pause, process: a}]\nservices:", "faults[0].length: is missing; pause needs it"},
		"endless cut-off": {"services:", "faults: [{fault: cut-off, process: a}]\nservices:", "faults[0].length: is missing; cut-off needs it"},
		"stand-in fault":  {"    model:", "    faults: [{kind: refuze, count: 1}]\n    model:", "services[0].faults[0].kind: \"refuze\" is not known; did you mean refuse?"},
	} {
		t.Run(name, func(t *testing.T) {
			require.Contains(t, string(text), row.old)
			directory := t.TempDir()
			changed := strings.Replace(string(text), row.old, row.new, 1)
			require.NoError(t, os.WriteFile(filepath.Join(directory, DescriptionFile), []byte(changed), 0o600))
			_, err := LoadDescription(directory)
			require.ErrorContains(t, err, row.want)
		})
	}
}
