package load

import (
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/internal/scenario"
)

const processScenario = "../../bench/scenarios/processes/step-on-processes.yaml"

func scenarioOptions() Options {
	return Options{
		Deployment: filepath.Join(deployments, "empleandes"), Seed: 3,
		Target: Target{
			Gateways:     []string{"127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3", "127.0.0.1:4"},
			GatewayZones: []string{"sala-ate", "sala-callao", "sala-chorrillos", "sala-surquillo"},
			Keys:         []string{"a", "b", "c"},
		},
	}
}

func TestScenarioRequestsMatchTheExperiment(t *testing.T) {
	of, err := scenario.Load(processScenario)
	require.NoError(t, err)
	options := scenarioOptions()
	kinds, err := Kinds(options.Deployment)
	require.NoError(t, err)
	require.NoError(t, checkDeployment(options, of, kinds))
	planned := planScenario(options, of, kinds, time.Now())
	drawn := of.Arrivals(options.Seed)
	require.Len(t, planned.arrivals, len(drawn))
	for number, want := range drawn[:50] {
		built := planned.make(planned.arrivals[number])
		require.Equal(t, want.At, built.arrival.at)
		require.Equal(t, of.Kinds[want.Kind].Name, built.kind)
		require.Equal(t, want.Tenant, built.tenant)
		require.Equal(t, want.OutputTokens, built.outputTokens)
		require.InDelta(t, want.PromptTokens, built.promptTokens, 10, "the chat's template adds a few tokens")
		require.Equal(t, []string{options.Target.addressFor(built)}, options.Target.gatewaysIn(of.Zones[want.Zone].Name))
	}
}

func TestAddresses(t *testing.T) {
	target := Target{
		Gateways: []string{"g1", "g2"}, GatewayZones: []string{"north", "south"}, Engines: []string{"e1"}, Pages: []string{"p1"},
	}
	direct := target
	direct.Gateways = nil
	for _, test := range []struct {
		target Target
		of     request
		want   string
	}{
		{target, request{chat: true, zone: "south"}, "g2"},
		{target, request{chat: true, arrival: arrival{index: 1}}, "g2"},
		{target, request{}, "g1"},
		{direct, request{chat: true, zone: "south"}, "e1"},
		{direct, request{zone: "south"}, "p1"},
	} {
		require.Equal(t, test.want, test.target.addressFor(test.of))
	}
}

func TestPromptsOfOneDossierShareAPrefix(t *testing.T) {
	texts := newPromptBuilder(1)
	short, long := texts.text("d", 10, 1, 20), texts.text("d", 50, 2, 80)
	again := texts.text("d", 10, 3, 20)
	require.Equal(t, short[:40], long[:40])
	require.Equal(t, short[:40], again[:40])
	require.NotEqual(t, short, again)
	require.NotEqual(t, short[:40], texts.text("e", 10, 4, 20)[:40])
}

func TestScenarioMustFitTheDeclarations(t *testing.T) {
	options := scenarioOptions()
	kinds, err := Kinds(options.Deployment)
	require.NoError(t, err)
	for name, row := range map[string]struct {
		change func(*scenario.Scenario)
		want   string
	}{
		"kind":    {func(changed *scenario.Scenario) { changed.Kinds[0].Name = "grading" }, `kind "grading" is not declared`},
		"worth":   {func(changed *scenario.Scenario) { changed.Kinds[0].Worth = 3 }, "has worth 3"},
		"tenants": {func(changed *scenario.Scenario) { changed.Tenants.Count = 4 }, "4 tenants"},
		"zone":    {func(changed *scenario.Scenario) { changed.Zones[0].Name = "amman" }, `no gateway in zone "amman"`},
	} {
		t.Run(name, func(t *testing.T) {
			of, err := scenario.Load(processScenario)
			require.NoError(t, err)
			row.change(&of)
			require.ErrorContains(t, checkDeployment(options, of, kinds), row.want)
		})
	}
}
