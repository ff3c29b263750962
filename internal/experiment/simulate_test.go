package experiment_test

import (
	"encoding/json"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
	"github.com/hazelpitch/hazelpitch/internal/experiment"
	"github.com/hazelpitch/hazelpitch/internal/scenario"
)

// fleet returns a small deployment with one service of six engines.
func fleet(length time.Duration) scenario.Scenario {
	return scenario.Scenario{
		Name: "test", Deployment: "test", Duration: length,
		Zones:   []scenario.Zone{{Name: "north", CallerWeight: 1}, {Name: "south", CallerWeight: 1}},
		Latency: scenario.Latency{BetweenZones: time.Millisecond},
		Services: []scenario.Service{{
			Name: "matcher", Profile: "dense-70b-8", Speed: 1, Engines: map[string]int{"north": 3, "south": 3},
			InitialRoles: []enginecontract.Role{enginecontract.RolePrefill, enginecontract.RoleDecode, enginecontract.RolePrefill},
			Trade:        scenario.Trade{ChangePrice: 2, Horizon: 2 * time.Minute, MinimumDwell: 10 * time.Second},
		}},
		Kinds: []scenario.Kind{
			{Name: "matching", Service: "matcher", Worth: 10, Deadline: 8 * time.Second, Priority: 20},
			{Name: "screening", Service: "matcher", Worth: 2, Deadline: 15 * time.Second, Priority: 10},
		},
		Tenants: scenario.Tenants{Count: 2},
		Reports: scenario.Reports{Interval: time.Second, Lag: time.Second},
	}
}

// poisson draws arrivals of the two kinds with rates that can change over time.
func poisson(length time.Duration, seed uint64, matching, screening func(time.Duration) float64) []scenario.Arrival {
	random := rand.New(rand.NewPCG(seed, 1))
	var arrivals []scenario.Arrival
	add := func(kind int, rate func(time.Duration) float64, prompt, output int) {
		for at := time.Duration(0); ; {
			at += time.Duration(random.ExpFloat64() / math.Max(rate(at), 0.01) * float64(time.Second))
			if at >= length {
				return
			}
			spread := 0.5 + random.Float64()
			arrivals = append(arrivals, scenario.Arrival{
				At: at, Kind: kind, Zone: random.IntN(2), Tenant: random.IntN(2),
				PromptTokens: int(float64(prompt) * spread), OutputTokens: int(float64(output) * spread),
			})
		}
	}
	add(0, matching, 6000, 80)
	add(1, screening, 300, 300)
	slices.SortStableFunc(arrivals, func(a, b scenario.Arrival) int { return int(a.At - b.At) })
	for i := range arrivals {
		arrivals[i].Number = i
	}
	return arrivals
}

func constant(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

func TestSimulationIsDeterministic(t *testing.T) {
	const length = 20 * time.Second
	run := func() string {
		result, err := experiment.Simulate(experiment.Options{
			Scenario: fleet(length), Arrivals: poisson(length, 1, constant(8), constant(30)), Seed: 1, Policy: experiment.ProductPolicy(),
		})
		require.NoError(t, err)
		text, err := json.Marshal(result)
		require.NoError(t, err)
		return string(text)
	}
	require.Equal(t, run(), run())
}

func TestEveryRequestEndsOnce(t *testing.T) {
	const length = 30 * time.Second
	result, err := experiment.Simulate(experiment.Options{
		Scenario: fleet(length), Arrivals: poisson(length, 2, constant(20), constant(80)), Seed: 1, Policy: experiment.ProductPolicy(),
	})
	require.NoError(t, err)
	require.Equal(t, result.Requests, result.Completed+result.Refused+result.DeadlineMisses+result.Cut)
	require.Positive(t, result.Completed)
}
