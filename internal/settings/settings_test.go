package settings_test

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/internal/settings"
)

const controllerFile = `name: c1
fleet: test
zone: z1
listen: 127.0.0.1:7400
admin_listen: 127.0.0.1:7401
data_directory: data
machine_list: 127.0.0.1:7500
operator_key_hash: e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855
peers:
  - name: c1
    address: 127.0.0.1:7400
    zone: z1
`

const gatewayFile = `name: g1
fleet: test
zone: z1
listen: 127.0.0.1:8080
admin_listen: 127.0.0.1:8081
controllers:
  - 127.0.0.1:7400
zone_latency:
  z2: 500us
`

func write(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "settings.yaml")
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

func TestLoadAppliesDefaultsAndOverrides(t *testing.T) {
	controller, err := settings.LoadController(settings.Source{
		Path: write(t, controllerFile+"plan_interval: 0s\n"),
		Overrides: []settings.Override{
			{Flag: "--listen", Key: "listen", Value: "127.0.0.2:7400"},
			{Flag: "--set", Key: "log.ring_entries", Value: "12"},
		},
	})
	require.NoError(t, err)
	require.Equal(t, time.Second, controller.ElectionTimeout)
	require.Equal(t, 100*time.Millisecond, controller.HeartbeatInterval)
	require.Zero(t, controller.PlanInterval)
	require.Equal(t, "127.0.0.2:7400", controller.Listen)
	require.Equal(t, 12, controller.Log.RingEntries)
	require.Equal(t, []settings.Peer{{Name: "c1", Address: "127.0.0.1:7400", Zone: "z1"}}, controller.Peers)

	gateway, err := settings.LoadGateway(settings.Source{Path: write(t, gatewayFile)})
	require.NoError(t, err)
	require.Equal(t, 500*time.Microsecond, gateway.ZoneLatency["z2"])
	require.Equal(t, 4194304, gateway.Limits.BodyBytes)
	require.Equal(t, 60*time.Second, gateway.DrainTimeout)
}

func TestControllerFaults(t *testing.T) {
	replace := strings.NewReplacer
	for name, row := range map[string]struct {
		text      string
		overrides []settings.Override
		want      []string
	}{
		"unknown key":        {text: controllerFile + "lisen: x\n", want: []string{":13:1: lisen: unknown key; did you mean listen?"}},
		"unknown nested key": {text: controllerFile + "log:\n  ring_entry: 1\n", want: []string{":14:3: log.ring_entry: unknown key; did you mean ring_entries?"}},
		"unknown far key":    {text: controllerFile + "wonderful: x\n", want: []string{"wonderful: unknown key; known keys are name, fleet"}},
		"missing unit":       {text: controllerFile + "election_timeout: 5\n", want: []string{":13:19: election_timeout: 5 is not a duration; write a number with its unit"}},
		"wrong unit":         {text: controllerFile + "log: {ring_entries: 4KB}\n", want: []string{"log.ring_entries: 4KB has the wrong type or unit; write a whole number"}},
		"number for text":    {text: replace("name: c1\nfleet", "name: 12\nfleet").Replace(controllerFile), want: []string{":1:7: name: 12 has the wrong type"}},
		"host name":          {text: replace("listen: 127.0.0.1:7400", "listen: localhost:7400").Replace(controllerFile), want: []string{`:4:9: listen: "localhost:7400" is not IP:port; write an IP number`}},
		"host name in list":  {text: replace("    address: 127.0.0.1:7400", "    address: c1.example:7400").Replace(controllerFile), want: []string{":11:14: peers[0].address:"}},
		"port zero":          {text: replace(":7401", ":0").Replace(controllerFile), want: []string{"admin_listen:", "has port 0"}},
		"missing keys":       {text: "name: c1\n", want: []string{":1:1: fleet: is missing or empty; set it here or with --set fleet=VALUE", "zone: is missing", "listen: is missing", "data_directory: is missing"}},
		"missing in list":    {text: replace("    zone: z1\n", "").Replace(controllerFile), want: []string{"peers[0].zone: is missing"}},
		"empty value":        {text: controllerFile + "log:\n", want: []string{"log: has no value"}},
		"not a list":         {text: replace("peers:\n  - name: c1\n    address: 127.0.0.1:7400\n    zone: z1", "peers: c1").Replace(controllerFile), want: []string{"peers: is not a list"}},
		"twice":              {text: controllerFile + "name: c2\n", want: []string{"name"}},
		"not a hash":         {text: replace("e3b0c4", "zz").Replace(controllerFile), want: []string{"operator_key_hash: is not a SHA-256 hash"}},
		"negative":           {text: controllerFile + "plan_interval: -1s\n", want: []string{"plan_interval: -1s is below zero"}},
		"zero":               {text: controllerFile + "heartbeat_interval: 0s\n", want: []string{"heartbeat_interval: 0s is not above zero"}},
		"short election":     {text: controllerFile + "election_timeout: 200ms\n", want: []string{":13:19: election_timeout: 200ms is too short"}},
		"half of TLS":        {text: controllerFile + "tls:\n  key: k.pem\n", want: []string{"tls: names some of its files"}},
		"no peers":           {text: controllerFile[:strings.Index(controllerFile, "peers:")], want: []string{"peers: is missing"}},
		"not among peers":    {text: replace("name: c1\nfleet", "name: c9\nfleet").Replace(controllerFile), want: []string{`peers: does not hold this process, "c9"`}},
		"not YAML":           {text: "name: [\n", want: []string{"not valid YAML"}},
		"two faults":         {text: controllerFile + "lisen: x\nzones: y\n", want: []string{"lisen", "zones"}},
		"flag with host":     {text: controllerFile, overrides: []settings.Override{{Flag: "--listen", Key: "listen", Value: "host:1"}}, want: []string{`flag --listen host:1: listen: "host:1" is not IP:port`}},
		"flag unknown":       {text: controllerFile, overrides: []settings.Override{{Flag: "--set", Key: "log.ring", Value: "1"}}, want: []string{"flag --set 1: log.ring: unknown key"}},
		"flag wrong type":    {text: controllerFile, overrides: []settings.Override{{Flag: "--set", Key: "log.ring_entries", Value: "many"}}, want: []string{"flag --set many: log.ring_entries: many has the wrong type"}},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := settings.LoadController(settings.Source{Path: write(t, row.text), Overrides: row.overrides})
			require.Error(t, err)
			for _, want := range row.want {
				require.ErrorContains(t, err, want)
			}
		})
	}
}

func TestProblemsAreTyped(t *testing.T) {
	_, err := settings.LoadGateway(settings.Source{Path: write(t, gatewayFile+"sync_interval: soon\n")})
	var problems settings.Problems
	require.True(t, errors.As(err, &problems))
	require.Len(t, problems, 1)
	require.Equal(t, "sync_interval", problems[0].Key)
}

func TestParseOverride(t *testing.T) {
	override, err := settings.ParseOverride("limits.in_flight=3")
	require.NoError(t, err)
	require.Equal(t, settings.Override{Flag: "--set", Key: "limits.in_flight", Value: "3"}, override)
	_, err = settings.ParseOverride("limits")
	require.ErrorContains(t, err, "is not KEY=VALUE")
}

func TestUnreadableFile(t *testing.T) {
	_, err := settings.LoadGateway(settings.Source{Path: filepath.Join(t.TempDir(), "absent.yaml")})
	require.ErrorContains(t, err, "--settings")
}
