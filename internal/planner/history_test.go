package planner

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
)

// trendOf returns a trend after one observation per second.
func trendOf(rates func(second int) float64, seconds int) *trend {
	observed := &trend{}
	for second := range seconds {
		observed.observe(rates(second), time.Second)
	}
	return observed
}

func TestTrend(t *testing.T) {
	tests := []struct {
		name        string
		rates       func(int) float64
		least, most float64
	}{
		{"steady", func(int) float64 { return 30 }, 29.9, 30.1},
		{"ramp of one per second", func(second int) float64 { return 20 + float64(second) }, 85, 98},
		{"falls to nothing", func(second int) float64 { return max(60-2*float64(second), 0) }, 0, 2},
		{"a jump is bounded", func(second int) float64 {
			if second < 58 {
				return 10
			}
			return 100
		}, 10, 61},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			forecast := trendOf(test.rates, 60).forecast()
			require.GreaterOrEqual(t, forecast, test.least)
			require.LessOrEqual(t, forecast, test.most)
		})
	}
}

func TestFirstObservationsHaveNoSlope(t *testing.T) {
	observed := trendOf(func(second int) float64 { return float64(second) }, 10)
	require.LessOrEqual(t, observed.forecast(), 10.0)
}

func TestCachedShareFollowsPrefilledTokens(t *testing.T) {
	var cache cacheEstimate
	engine := EngineObservation{Name: "e", Load: &enginecontract.LoadReport{}}
	completed := []kindEstimate{{kind: "matching", completed: 10, prompt: 1000}}
	for range 120 {
		engine.Load.PromptTokensDone += 6000 // of 10,000 that were completed
		cache.observe([]EngineObservation{engine}, completed, time.Second)
	}
	require.InDelta(t, 0.4, cache.cachedShare(), 0.02)
}

func TestStoppedKindIsNotForecast(t *testing.T) {
	observedHistory := newHistory()
	policy := Policy{Horizon: time.Minute}
	for second := range 120 {
		demands := []DemandObservation{{Kind: "screening", ArrivalsPerSecond: 5, PromptTokens: 100, OutputTokens: 10}}
		if second < 50 {
			demands = append(demands, DemandObservation{Kind: "matching", ArrivalsPerSecond: 9, PromptTokens: 100, OutputTokens: 10})
		}
		observedHistory.observe(Observation{Now: time.Duration(second) * time.Second, Policy: policy}, demands)
	}
	weighted := observedHistory.demands(2*time.Minute, nil, policy.Horizon)
	total := 0.0
	for _, entry := range weighted {
		total += entry.weight
		for _, demand := range entry.demands {
			if demand.Kind == "matching" {
				require.Less(t, demand.ArrivalsPerSecond, 0.01)
			}
		}
	}
	require.InDelta(t, 1, total, 1e-9)
}

func TestCorrectionLearnsFromServedWorthOnly(t *testing.T) {
	tests := []struct {
		name                     string
		arriving, lost, modelled float64
		factor                   float64
	}{
		{"the model is right", 100, 20, 80, 1},
		{"the model is too low", 100, 0, 80, 1.25},
		{"losses beyond the model's", 100, 50, 80, 1},
		{"the model predicts no loss", 100, 30, 100, 1},
		{"the correction is bounded", 100, 0, 10, maxCorrection},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var learnedCorrection correction
			for range 100 {
				learnedCorrection.observe(test.arriving, test.lost, test.modelled, time.Second)
			}
			require.InDelta(t, test.factor, learnedCorrection.factor, 0.01)
		})
	}
}
