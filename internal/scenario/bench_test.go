package scenario_test

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/language"
	"github.com/hazelpitch/hazelpitch/internal/scenario"
)

const root = "../.."

// benchScenarios reads every scenario in a deployment's set.
func benchScenarios(t *testing.T, deployment string) map[string]scenario.Scenario {
	t.Helper()
	paths, err := filepath.Glob(filepath.Join(root, "bench", "scenarios", deployment, "*.yaml"))
	require.NoError(t, err)
	read := map[string]scenario.Scenario{}
	for _, path := range paths {
		loaded, err := scenario.Load(path)
		require.NoError(t, err)
		require.Equal(t, loaded.Name+".yaml", filepath.Base(path), "a scenario has the name of its file")
		read[loaded.Name] = loaded
	}
	return read
}

// declarations reads the declarations of a deployment.
func declarations(t *testing.T, deployment string) []*v1.Object {
	t.Helper()
	paths, err := filepath.Glob(filepath.Join(root, "deploy", deployment, "declarations", "*.hzl"))
	require.NoError(t, err)
	var files []*v1.SourceFile
	for _, path := range paths {
		text, err := os.ReadFile(path)
		require.NoError(t, err)
		files = append(files, &v1.SourceFile{Name: path, Text: string(text)})
	}
	objects, err := language.ParseDeclarations(files)
	require.NoError(t, err)
	return objects
}

func TestScenarioSetsAreComplete(t *testing.T) {
	common := []string{"calm", "step", "slow-ramp", "square-wave", "flash-burst", "engine-loss-during-shift", "stale-reports", "two-models"}
	for deployment, specific := range map[string]string{"empleandes": "hiring-waves", "rawabi": "live-bidding"} {
		present := benchScenarios(t, deployment)
		for _, name := range append(common, specific) {
			require.Contains(t, present, name, deployment)
		}
	}
}

func TestScenarioSetsMatchTheDeclarations(t *testing.T) {
	for _, deployment := range []string{"empleandes", "rawabi"} {
		objects := declarations(t, deployment)
		for name, read := range benchScenarios(t, deployment) {
			t.Run(deployment+"/"+name, func(t *testing.T) {
				require.Equal(t, deployment, read.Deployment)
				for _, object := range objects {
					requireKind(t, read, object.GetKey().GetName(), object.GetKind())
					requireTrade(t, read, object.GetPolicy())
				}
			})
		}
	}
}

// TestEveryScenarioOfTheBenchLoads reads the scenarios outside of the two deployments' sets.
func TestEveryScenarioOfTheBenchLoads(t *testing.T) {
	for _, pattern := range []string{"held-out/*.yaml", "scenarios/processes/*.yaml"} {
		paths, err := filepath.Glob(filepath.Join(root, "bench", filepath.FromSlash(pattern)))
		require.NoError(t, err)
		require.NotEmpty(t, paths, pattern)
		for _, path := range paths {
			read, err := scenario.Load(path)
			require.NoError(t, err)
			require.Equal(t, read.Name+".yaml", filepath.Base(path))
			require.NotEmpty(t, read.Arrivals(1), path)
		}
	}
}

func requireKind(t *testing.T, read scenario.Scenario, name string, declared *v1.Kind) {
	t.Helper()
	for _, kind := range read.Kinds {
		if kind.Name != name || declared == nil {
			continue
		}
		require.Equal(t, declared.GetWorth(), kind.Worth, name)
		require.Equal(t, declared.GetDeadlineMs(), uint32(kind.Deadline/time.Millisecond), name)
		require.Equal(t, declared.GetService(), kind.Service, name)
		require.EqualValues(t, declared.GetPriority(), kind.Priority, name)
	}
}

func requireTrade(t *testing.T, read scenario.Scenario, declared *v1.Policy) {
	t.Helper()
	for _, service := range read.Services {
		if declared == nil || declared.GetService() != service.Name {
			continue
		}
		require.Equal(t, declared.GetChangePrice(), service.Trade.ChangePrice)
		require.EqualValues(t, declared.GetChangesPerHour(), service.Trade.ChangesPerHour)
		require.EqualValues(t, declared.GetMinimumDwellMs(), service.Trade.MinimumDwell/time.Millisecond)
		require.EqualValues(t, declared.GetHorizonMs(), service.Trade.Horizon/time.Millisecond)
	}
}
