package scenario_test

import (
	"math"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/internal/scenario"
)

func TestArrivalsDependOnTheSeedAlone(t *testing.T) {
	read := load(t, base)
	require.Equal(t, read.Arrivals(7), read.Arrivals(7))
	require.NotEqual(t, read.Arrivals(7), read.Arrivals(8))
	for number, arrival := range read.Arrivals(7) {
		require.Equal(t, number, arrival.Number)
		require.Less(t, arrival.At, read.Duration)
	}
}

func TestOneKindDoesNotDependOnOthers(t *testing.T) {
	more := base[:strings.Index(base, "tenants:")] + `  - name: question
    service: assessor
    worth: 1
    prompt_tokens: {value: 100}
    output_tokens: {value: 10}
    arrivals: {rate: 5}
` + base[strings.Index(base, "tenants:"):]
	alone := load(t, base).Arrivals(3)
	var among []scenario.Arrival
	for _, arrival := range load(t, more).Arrivals(3) {
		if arrival.Kind == 0 {
			arrival.Number = len(among)
			among = append(among, arrival)
		}
	}
	require.Equal(t, alone, among)
}

func TestArrivalsFollowTheFile(t *testing.T) {
	arrivals := load(t, base).Arrivals(1)
	early, prompts, zones, tenants := 0, 0.0, [2]int{}, [4]int{}
	for _, arrival := range arrivals {
		if arrival.At < 50*time.Second {
			early++
		}
		prompts += float64(arrival.PromptTokens)
		zones[arrival.Zone]++
		tenants[arrival.Tenant]++
		require.LessOrEqual(t, arrival.PromptTokens, 20000)
		require.GreaterOrEqual(t, arrival.OutputTokens, 60)
		require.LessOrEqual(t, arrival.OutputTokens, 180)
	}
	total := float64(len(arrivals))
	require.InEpsilon(t, 3000, total, 0.06)                   // 20/s for 50 s, then 40/s
	require.InEpsilon(t, 1000, float64(early), 0.1)           // before the step
	require.InEpsilon(t, 9000, prompts/total, 0.05)           // mean of the distribution
	require.InEpsilon(t, 0.75, float64(zones[1])/total, 0.05) // caller_weight 3 to 1
	require.InEpsilon(t, 2, float64(tenants[0])/float64(tenants[1]), 0.2)
	require.InEpsilon(t, 4, float64(tenants[0])/float64(tenants[3]), 0.25)
}

func TestArrivalProcesses(t *testing.T) {
	variation := func(arrivals string) (count int, squared float64) {
		drawn := load(t, strings.Replace(base, "{rate: 20}", arrivals, 1)).Arrivals(5)
		counts := make([]float64, 50) // arrivals in each second before the step
		for _, arrival := range drawn {
			if second := int(arrival.At / time.Second); second < len(counts) {
				counts[second]++
				count++
			}
		}
		mean := float64(count) / float64(len(counts))
		for _, perSecond := range counts {
			squared += (perSecond - mean) * (perSecond - mean) / float64(len(counts)) / mean
		}
		return count, squared
	}
	count, dispersion := variation("{process: constant, rate: 20}")
	require.InDelta(t, 1000, count, 1)
	require.Less(t, dispersion, 0.05)
	_, dispersion = variation("{process: poisson, rate: 20}")
	require.InDelta(t, 1, dispersion, 0.5)
	_, dispersion = variation("{process: bursts, rate: 20, burst_size: 8}")
	require.Greater(t, dispersion, 4.0)
}

func TestShapes(t *testing.T) {
	second := time.Second
	for name, row := range map[string]struct {
		shape scenario.Shape
		want  map[time.Duration]float64
	}{
		"step":  {scenario.Shape{Shape: scenario.ShapeStep, At: 2 * second, Until: 4 * second, Factor: 3}, map[time.Duration]float64{0: 1, 2 * second: 3, 4 * second: 1}},
		"ramp":  {scenario.Shape{Shape: scenario.ShapeRamp, At: 2 * second, Until: 4 * second, Factor: 3}, map[time.Duration]float64{0: 1, 3 * second: 2, 9 * second: 3}},
		"wave":  {scenario.Shape{Shape: scenario.ShapeWave, Period: 4 * second, Amplitude: 0.5}, map[time.Duration]float64{0: 1, second: 1.5, 3 * second: 0.5}},
		"burst": {scenario.Shape{Shape: scenario.ShapeBurst, At: second, Length: second, Factor: 5, Period: 4 * second}, map[time.Duration]float64{0: 1, second: 5, 2 * second: 1, 5 * second: 5, 6 * second: 1}},
		"square": {
			scenario.Shape{Shape: scenario.ShapeSquare, Period: 4 * second, Low: 0.5, High: 2, Phase: 0.5},
			map[time.Duration]float64{0: 0.5, 2 * second: 2, 4 * second: 0.5},
		},
		"daily": {
			scenario.Shape{Shape: scenario.ShapeDaily, Period: 10 * second, Points: []scenario.Point{{At: 2 * second, Factor: 1}, {At: 6 * second, Factor: 3}}},
			map[time.Duration]float64{2 * second: 1, 4 * second: 2, 6 * second: 3, 9 * second: 2, 11 * second: 4.0 / 3},
		},
	} {
		t.Run(name, func(t *testing.T) {
			for at, want := range row.want {
				require.InDelta(t, want, row.shape.FactorAt(at), 1e-9, "at %v", at)
			}
		})
	}
}

func TestSubjects(t *testing.T) {
	text := strings.Replace(base, "    arrivals:", "    prefix: {subjects: 3, share: 0.5}\n    arrivals:", 1)
	seen := map[int]bool{}
	for _, arrival := range load(t, text).Arrivals(1) {
		seen[arrival.Subject] = true
		require.InDelta(t, float64(arrival.PromptTokens)/2, arrival.SharedTokens, 0.5)
	}
	require.Len(t, seen, 3)
	require.False(t, math.IsNaN(load(t, text).Kinds[0].RateAt(0)))
}
