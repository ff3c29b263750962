package scenario_test

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
	"github.com/hazelpitch/hazelpitch/internal/scenario"
	"github.com/hazelpitch/hazelpitch/internal/yamlfile"
)

const base = `name: test
deployment: rawabi
duration: 100s
zones:
  - {name: hall-a}
  - {name: hall-b, caller_weight: 3}
services:
  - name: assessor
    engines: {hall-a: 2, hall-b: 1}
    initial_roles: [prefill, decode]
    bounds:
      - {role: prefill, minimum: 1, maximum: 2}
kinds:
  - name: assessment
    service: assessor
    worth: 12
    deadline: 6s
    prompt_tokens: {law: lognormal, mean: 9000, deviation: 3000, high: 20000}
    output_tokens: {law: uniform, low: 60, high: 180}
    arrivals: {rate: 20}
    mix:
      - {shape: step, at: 50s, factor: 2}
tenants: {count: 4, skew: 1}
faults:
  - {fault: engine-crash, at: 10s, engine: assessor-hall-a-1}
`

func write(t *testing.T, name, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

func load(t *testing.T, text string) scenario.Scenario {
	t.Helper()
	read, err := scenario.Load(write(t, "scenario.yaml", text))
	require.NoError(t, err)
	return read
}

func TestLoadAppliesDefaults(t *testing.T) {
	read := load(t, base)
	require.Equal(t, 1.0, read.Zones[0].CallerWeight)
	require.Equal(t, time.Second, read.Reports.Lag)
	require.Equal(t, scenario.ProcessPoisson, read.Kinds[0].Arrivals.Process)
	require.Equal(t, 1, read.Services[0].Bounds[0].MaximumOut)
	require.Equal(t, 4*time.Second, read.Services[0].EngineProfile().RoleChange)
	require.Equal(t, []scenario.Engine{
		{Name: "assessor-hall-a-1", Service: "assessor", Zone: "hall-a", Role: enginecontract.RolePrefill},
		{Name: "assessor-hall-a-2", Service: "assessor", Zone: "hall-a", Role: enginecontract.RoleDecode},
		{Name: "assessor-hall-b-1", Service: "assessor", Zone: "hall-b", Role: enginecontract.RolePrefill},
	}, read.Engines())
	require.Len(t, read.Faults[0].Targets(read.Engines()), 1)
}

func TestInvalidScenarios(t *testing.T) {
	for name, row := range map[string]struct{ old, new, want string }{
		"unknown key":           {"duration: 100s", "duration: 100s\nreport: 3", ":4:1: report: unknown key; did you mean reports?"},
		"unknown key in a list": {"    worth: 12", "    wort: 12", "kinds[0].wort: unknown key; did you mean worth?"},
		"no unit":               {"duration: 100s", "duration: 100", ":3:11: duration: 100 is not a duration; write a number with its unit"},
		"unit for a number":     {"worth: 12", "worth: 12s", "kinds[0].worth: 12s has the wrong type or unit; write a number"},
		"missing":               {"duration: 100s\n", "", "duration: is missing or empty; set it"},
		"missing worth":         {"    worth: 12\n", "", "kinds[0].worth: is missing or empty"},
		"negative worth":        {"worth: 12", "worth: -1", "kinds[0].worth: -1 is not above zero"},
		"unknown role":          {"[prefill, decode]", "[prefil, decode]", `:10:21: services[0].initial_roles[0]: "prefil" is not known; did you mean prefill?`},
		"unknown law":           {"law: uniform", "law: even", `output_tokens.law: "even" is not known; write one of fixed, uniform`},
		"law misses a key":      {"low: 60, ", "", "kinds[0].output_tokens.low: is missing; law uniform needs it"},
		"key of another law":    {"low: 60,", "low: 60, mean: 3,", "kinds[0].output_tokens.mean: is not a key of law uniform"},
		"low above high":        {"low: 60", "low: 600", "output_tokens.low: 600 is above high, 180"},
		"no prompt":             {"    prompt_tokens: {law: lognormal, mean: 9000, deviation: 3000, high: 20000}\n", "", "kinds[0].prompt_tokens.value: is missing; law fixed needs it"},
		"unknown shape":         {"shape: step", "shape: stop", `mix[0].shape: "stop" is not known; did you mean step?`},
		"shape misses a key":    {"at: 50s, factor: 2", "at: 50s", "mix[0].factor: is missing; shape step needs it"},
		"key of another shape":  {"factor: 2", "factor: 2, period: 3s", "mix[0].period: is not a key of shape step"},
		"until before at":       {"factor: 2", "factor: 2, until: 50s", "mix[0].until: 50s is not after at, 50s"},
		"amplitude":             {"{shape: step, at: 50s, factor: 2}", "{shape: wave, period: 3s, amplitude: 2}", "mix[0].amplitude: 2 is not a share; write a number from 0 to 1"},
		"point beyond period":   {"{shape: step, at: 50s, factor: 2}", "{shape: daily, period: 3s, points: [{at: 4s, factor: 1}]}", "points[0].at: 4s is not within the period"},
		"points out of order":   {"{shape: step, at: 50s, factor: 2}", "{shape: daily, period: 9s, points: [{at: 4s, factor: 1}, {at: 2s, factor: 1}]}", "points[1].at: 2s is not after the point before it"},
		"short burst period":    {"{shape: step, at: 50s, factor: 2}", "{shape: burst, at: 1s, length: 5s, period: 3s, factor: 2}", "mix[0].period: 3s is shorter than length, 5s"},
		"unknown service":       {"service: assessor", "service: assesor", `kinds[0].service: "assesor" is not one of the scenario's; did you mean assessor?`},
		"unknown zone":          {"hall-b: 1}", "hall-c: 1}", "services[0].engines.hall-c: is not one of the scenario's zones; did you mean hall-a?"},
		"zone twice":            {"{name: hall-b, caller_weight: 3}", "{name: hall-a}", `zones[1].name: "hall-a" stands twice`},
		"no callers":            {"{name: hall-a}\n  - {name: hall-b, caller_weight: 3}", "{name: hall-a, caller_weight: 0}\n  - {name: hall-b, caller_weight: 0}", "zones: no zone has callers"},
		"no decode engine":      {"[prefill, decode]", "[prefill]", "services[0].initial_roles: leave no engine to read prompts, or none to write output"},
		"minimum above maximum": {"minimum: 1", "minimum: 3", "bounds[0].minimum: 3 is above maximum, 2"},
		"minimum above engines": {"minimum: 1, maximum: 2", "minimum: 4", "bounds[0].minimum: 4 is more than the 3 engines there"},
		"pin of no engine":      {"    bounds:", "    pins: {assessor-hall-a-9: decode}\n    bounds:", "pins.assessor-hall-a-9: is not one of the service's engines"},
		"fault after the end":   {"at: 10s", "at: 100s", "faults[0].at: 1m40s is not before the end"},
		"fault without length":  {"fault: engine-crash", "fault: engine-pause", "faults[0].length: is missing; engine-pause needs it"},
		"fault of no engine":    {"engine: assessor-hall-a-1", "engine: assessor-hall-a-1, zone: hall-b", "faults[0]: strikes no engine"},
		"planner fault strikes": {"{fault: engine-crash, at: 10s,", "{fault: planner-crash, at: 10s, length: 5s,", "faults[0]: planner-crash strikes no engine"},
		"burst size":            {"{rate: 20}", "{rate: 20, burst_size: 4}", "arrivals.burst_size: belongs to process bursts"},
		"no arrivals":           {"    arrivals: {rate: 20}\n", "", "kinds[0].arrivals: sends nothing"},
		"share without subject": {"    arrivals:", "    prefix: {share: 0.5}\n    arrivals:", "kinds[0].prefix.subjects: is missing"},
		"no trace":              {"duration: 100s", "duration: 100s\ntrace: {file: absent.csv}", "cannot read the trace"},
	} {
		t.Run(name, func(t *testing.T) {
			require.Contains(t, base, row.old)
			_, err := scenario.Load(write(t, "scenario.yaml", strings.Replace(base, row.old, row.new, 1)))
			require.ErrorContains(t, err, row.want)
		})
	}
}

func TestAllProblemsAreReported(t *testing.T) {
	text := strings.NewReplacer("worth: 12", "worth: -1", "law: uniform", "law: even").Replace(base)
	_, err := scenario.Load(write(t, "scenario.yaml", text))
	var problems yamlfile.Problems
	require.True(t, errors.As(err, &problems))
	require.Len(t, problems, 2)
}

func TestTrace(t *testing.T) {
	directory := t.TempDir()
	text := strings.Replace(base, "    arrivals: {rate: 20}\n", "", 1) + "trace: {file: trace.csv}\n"
	require.NoError(t, os.WriteFile(filepath.Join(directory, "scenario.yaml"), []byte(text), 0o600))
	for name, row := range map[string]struct{ csv, want string }{
		"good":           {csv: "at_seconds,kind,prompt_tokens,output_tokens,tenant,zone\n2.5,assessment,100,20,3,hall-b\n1,assessment,50,10,1,hall-a\n"},
		"unknown column": {"at_seconds,kind,prompt_tokens,output_token\n", "trace.csv:1: output_token: unknown column; did you mean output_tokens?"},
		"unknown kind":   {"at_seconds,kind,prompt_tokens,output_tokens\n1,assesment,1,1\n", `trace.csv:2: kind: "assesment" is not one of the scenario's; did you mean assessment?`},
		"late":           {"at_seconds,kind,prompt_tokens,output_tokens\n100,assessment,1,1\n", `trace.csv:2: at_seconds: "100" is not a time of the run`},
		"no prompt":      {"at_seconds,kind,prompt_tokens,output_tokens\n1,assessment,0,1\n", `trace.csv:2: prompt_tokens: "0" is not a whole number from 1`},
		"tenant":         {"at_seconds,kind,prompt_tokens,output_tokens,tenant\n1,assessment,1,1,5\n", `tenant: "5" is not a whole number from 1 to 4`},
		"shared":         {"at_seconds,kind,prompt_tokens,output_tokens,shared_tokens\n1,assessment,1,1,5\n", "shared_tokens: 5 is more than the prompt's 1"},
		"short row":      {"at_seconds,kind,prompt_tokens,output_tokens\n1,assessment,1\n", "not valid CSV: record on line 2"},
	} {
		t.Run(name, func(t *testing.T) {
			require.NoError(t, os.WriteFile(filepath.Join(directory, "trace.csv"), []byte(row.csv), 0o600))
			read, err := scenario.Load(filepath.Join(directory, "scenario.yaml"))
			if row.want != "" {
				require.ErrorContains(t, err, row.want)
				return
			}
			require.NoError(t, err)
			require.Equal(t, []scenario.Arrival{
				{Number: 0, At: time.Second, PromptTokens: 50, OutputTokens: 10},
				{Number: 1, At: 2500 * time.Millisecond, Zone: 1, Tenant: 2, PromptTokens: 100, OutputTokens: 20},
			}, read.Arrivals(1))
		})
	}
}
