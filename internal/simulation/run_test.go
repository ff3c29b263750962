package simulation

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// workers is the number of seeds simulated at once.
const workers = 4

// TestSeeds runs 300 seeds. No check may fail, and together the seeds must cover every kind of fault and all kinds of
// work.
func TestSeeds(t *testing.T) {
	total := Result{Faults: map[FaultKind]int{}}
	Sweep(Options{Steps: 5000}, 1, 300, workers, func(result Result) bool {
		if result.Violation != nil {
			t.Errorf("seed %d: %v\n%s", result.Seed, result.Violation, strings.Join(result.Trace[max(0, len(result.Trace)-60):], "\n"))
			return false
		}
		total.add(result)
		return true
	})
	for _, kind := range faultKinds {
		if kind == FaultSwapVoter {
			continue // the default fleet has no standbys; TestDeployments covers this kind
		}
		require.Positive(t, total.Faults[kind], "no seed had a %s", kind)
	}
	require.Positive(t, total.Faults[FaultSecondLost])
	require.Positive(t, total.Orders)
	require.Positive(t, total.Operations)
	require.Positive(t, total.Accepted)
	require.Positive(t, total.Claims)
	t.Logf("%+v", total)
}

// TestRestartsTogether runs seeds in which all controllers are repeatedly killed at once.
func TestRestartsTogether(t *testing.T) {
	total := Result{Faults: map[FaultKind]int{}}
	Sweep(Options{Steps: 5000, Emphasis: kinds(FaultRestartTogether)}, 1, 100, workers, func(result Result) bool {
		if result.Violation != nil {
			t.Errorf("seed %d: %v\n%s", result.Seed, result.Violation, strings.Join(result.Trace[max(0, len(result.Trace)-60):], "\n"))
			return false
		}
		total.add(result)
		return true
	})
	require.Positive(t, total.Faults[FaultRestartTogether])
	require.Positive(t, total.Operations)
}

// TestBuildsSideBySide runs seeds in which controllers are replaced by ones of a former format and back, beside all other
// faults. Both builds must hold the same state, on disk, in snapshots and in messages.
func TestBuildsSideBySide(t *testing.T) {
	total := Result{Faults: map[FaultKind]int{}}
	Sweep(Options{Steps: 5000, Emphasis: kinds(FaultReplaceBuild)}, 1, 60, workers, func(result Result) bool {
		if result.Violation != nil {
			t.Errorf("seed %d: %v\n%s", result.Seed, result.Violation, strings.Join(result.Trace[max(0, len(result.Trace)-60):], "\n"))
			return false
		}
		total.add(result)
		return true
	})
	require.Greater(t, total.Faults[FaultReplaceBuild], 60)
	require.Positive(t, total.Operations)
}

// TestDeployments runs every fleet of Deployments.
func TestDeployments(t *testing.T) {
	for name, deployment := range Deployments {
		t.Run(name, func(t *testing.T) {
			swaps := 0
			Sweep(Options{Steps: 10_000, Deployment: deployment}, 1, 8, workers, func(result Result) bool {
				if result.Violation != nil {
					t.Errorf("seed %d: %v", result.Seed, result.Violation)
				}
				swaps += result.Faults[FaultSwapVoter]
				return true
			})
			require.Equal(t, deployment.Standbys > 0, swaps > 0)
		})
	}
}

// TestSeedsThatFailed runs seeds in which long sweeps found faults of the product that have been fixed.
func TestSeedsThatFailed(t *testing.T) {
	for _, row := range []struct {
		deployment string
		seed       uint64
	}{
		{"five", 206},       // a learner was forgotten with the leader that admitted it
		{"standby", 879},    // a learner was forgotten with the leader that admitted it
		{"rawabi", 1809},    // a new leader did not count an order to an engine that no longer reports
		{"empleandes", 395}, // a new leader did not count an order to an engine that no longer reports
	} {
		result := Run(Options{Seed: row.seed, Steps: 8000, Deployment: Deployments[row.deployment]})
		require.Nil(t, result.Violation, "%s, seed %d", row.deployment, row.seed)
	}
}

// TestSameSeedSameTrace runs seeds twice: the seed alone must determine the trace.
func TestSameSeedSameTrace(t *testing.T) {
	for seed := range uint64(5) {
		first, second := Run(Options{Seed: seed, Steps: 4000}), Run(Options{Seed: seed, Steps: 4000})
		require.Equal(t, first.TraceHash, second.TraceHash, "seed %d", seed)
	}
	require.NotEqual(t, Run(Options{Seed: 1, Steps: 4000}).TraceHash, Run(Options{Seed: 2, Steps: 4000}).TraceHash)
}
