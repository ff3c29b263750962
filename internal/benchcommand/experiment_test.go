package benchcommand

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/internal/experiment"
)

// tinyScenario has two engines and takes 5 s.
const tinyScenario = `name: tiny
deployment: test
duration: 5s
zones: [{name: north}]
services:
  - {name: matcher, engines: {north: 2}, initial_roles: [prefill, decode]}
kinds:
  - name: matching
    service: matcher
    worth: 1
    deadline: 8s
    prompt_tokens: {value: 1000}
    output_tokens: {value: 20}
    arrivals: {rate: 4}
`

func runExperiment(t *testing.T, arguments ...string) (code int, stdout, stderr string) {
	t.Helper()
	var out, errors bytes.Buffer
	code = Run(context.Background(), append([]string{"experiment"}, arguments...), Environment{Program: "hazelbench", Stdout: &out, Stderr: &errors})
	return code, out.String(), errors.String()
}

func writeTinyScenario(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "tiny.yaml")
	require.NoError(t, os.WriteFile(path, []byte(tinyScenario), 0o600))
	return path
}

func TestExperimentUsageErrors(t *testing.T) {
	file := writeTinyScenario(t)
	for _, row := range []struct {
		name       string
		arguments  []string
		wantStderr string
	}{
		{"no scenario", nil, "name a scenario file"},
		{"no such file", []string{"absent.yaml"}, "absent.yaml"},
		{"no such policy", []string{file, "--policy", "best"}, "there is no such policy"},
		{"no seeds", []string{file, "--seeds", "0"}, "at least 1"},
		{"no such suite", []string{"--suite", "absent"}, "absent"},
	} {
		t.Run(row.name, func(t *testing.T) {
			code, _, stderr := runExperiment(t, row.arguments...)
			require.Equal(t, ExitUsage, code)
			require.Contains(t, stderr, row.wantStderr)
		})
	}
}

func TestExperimentPrintsARun(t *testing.T) {
	code, stdout, stderr := runExperiment(t, writeTinyScenario(t), "--json")
	require.Equal(t, ExitDone, code, stderr)
	var run experiment.Run
	require.NoError(t, json.Unmarshal([]byte(stdout), &run))
	require.Equal(t, "tiny", run.Scenario)
	require.Equal(t, experiment.PolicyPlanner, run.Policy)
	require.Positive(t, run.Completed)
}

// TestExperimentReusesKeptRuns writes the page twice, the second time only from the runs kept in a file.
func TestExperimentReusesKeptRuns(t *testing.T) {
	file, directory := writeTinyScenario(t), t.TempDir()
	kept, first, second := filepath.Join(directory, "kept"), filepath.Join(directory, "1.md"), filepath.Join(directory, "2.md")
	code, _, stderr := runExperiment(t, file, "--seeds", "2", "--write", first, "--keep", kept)
	require.Equal(t, ExitDone, code, stderr)
	code, _, stderr = runExperiment(t, file, "--seeds", "2", "--write", second, "--keep", kept, "--kept-only")
	require.Equal(t, ExitDone, code, stderr)
	one, err := os.ReadFile(first)
	require.NoError(t, err)
	two, err := os.ReadFile(second)
	require.NoError(t, err)
	require.Contains(t, string(one), "| clairvoyant |")
	require.Contains(t, string(two), "broken off")
	require.Equal(t, pageTables(one), pageTables(two))
}

// pageTables returns a page from its first table on.
func pageTables(page []byte) string {
	_, tables, _ := bytes.Cut(page, []byte("## The planner"))
	return string(tables)
}
