package processrun

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
	"github.com/hazelpitch/hazelpitch/internal/experiment"
	"github.com/hazelpitch/hazelpitch/internal/load"
	"github.com/hazelpitch/hazelpitch/internal/scenario"
	"github.com/hazelpitch/hazelpitch/internal/standin/engine"
	"github.com/hazelpitch/hazelpitch/internal/verdict"
)

const scenarioText = `name: small
deployment: rawabi
duration: 3s
zones: [{name: hall-a}]
services:
  - {name: assessor, engines: {hall-a: 1}}
kinds:
  - name: assessment
    service: assessor
    worth: 10
    deadline: 2s
    prompt_tokens: {value: 100}
    output_tokens: {value: 11}
    arrivals: {process: constant, rate: 1}
`

func loadScenario(t *testing.T, faults string) scenario.Scenario {
	t.Helper()
	path := filepath.Join(t.TempDir(), "small.yaml")
	require.NoError(t, os.WriteFile(path, []byte(scenarioText+faults), 0o600))
	read, err := scenario.Load(path)
	require.NoError(t, err)
	return read
}

func TestRecordCountsEachOutcome(t *testing.T) {
	notRun, mayHaveRun := verdict.NotRun.String(), verdict.MayHaveRun.String()
	tests := []struct {
		name   string
		result load.Result
		want   experiment.Run
	}{
		{"completed", load.Result{Outcome: load.Completed, Total: time.Second}, experiment.Run{Completed: 1, Goodput: 10}},
		{"late", load.Result{Outcome: load.Completed, Total: 3 * time.Second}, experiment.Run{DeadlineMisses: 1}},
		{"expired", load.Result{Outcome: load.Expired}, experiment.Run{DeadlineMisses: 1}},
		{"not run", load.Result{Outcome: load.Refused, Verdict: notRun, Code: "overloaded"}, experiment.Run{Refused: 1}},
		{"deadline after it began", load.Result{Outcome: load.Refused, Verdict: mayHaveRun, Code: codeDeadline}, experiment.Run{DeadlineMisses: 1}},
		{"failed after it began", load.Result{Outcome: load.Refused, Verdict: mayHaveRun, Code: "back_end_failed"}, experiment.Run{Cut: 1}},
		{"cut", load.Result{Outcome: load.Cut}, experiment.Run{Cut: 1}},
		{"lost", load.Result{Outcome: load.Lost}, experiment.Run{Cut: 1}},
		{"not sent", load.Result{Outcome: load.NotSent}, experiment.Run{Cut: 1}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			test.result.Kind = "assessment"
			run := record(loadScenario(t, ""), 1, &watcher{}, []load.Result{test.result})
			require.Equal(t, 3, run.Requests, "all requests of the scenario count, whatever their outcome")
			require.Equal(t, 30.0, run.OfferedWorth)
			got := experiment.Run{
				Completed: run.Completed, Goodput: run.Goodput, DeadlineMisses: run.DeadlineMisses, Refused: run.Refused, Cut: run.Cut,
			}
			require.Equal(t, test.want, got)
		})
	}
}

func TestRecordAddsWorthToItsSecond(t *testing.T) {
	observed := &watcher{samples: []experiment.Sample{{AtSeconds: 1}, {AtSeconds: 2}, {AtSeconds: 3}}}
	run := record(loadScenario(t, ""), 1, observed, []load.Result{
		{Kind: "assessment", Outcome: load.Completed, Due: 500 * time.Millisecond, FirstByte: 200 * time.Millisecond, Total: 1200 * time.Millisecond, Tokens: 11},
		{Kind: "assessment", Outcome: load.Refused, Verdict: verdict.NotRun.String(), Code: "overloaded"},
		{Kind: "assessment", Outcome: load.Refused, Verdict: verdict.NotRun.String(), Code: "overloaded"},
	})
	require.Equal(t, 10.0, run.Series[1].Goodput)
	require.Zero(t, run.Series[0].Goodput)
	for _, sample := range run.Series {
		require.Equal(t, int64(100), sample.PromptTokens, "one arrival a second")
	}
	require.Equal(t, 100.0, run.Latencies.BetweenTokens.P50, "1 s for the ten tokens after the first")
	require.Equal(t, []experiment.Refusal{{Tenant: "tenant-1", Verdict: verdict.NotRun.String(), Reason: "overloaded", Count: 2}}, run.Refusals)
	require.Equal(t, []experiment.Tenant{{Tenant: "tenant-1", Requests: 3, Completed: 1, Refused: 2, OfferedWorth: 30, Goodput: 10}}, run.Tenants)
}

func TestVirtualTimeFaultsAreRejected(t *testing.T) {
	require.NoError(t, validateFaults(loadScenario(t, "faults: [{fault: engine-crash, at: 1s}, {fault: engine-pause, at: 1s, length: 1s}]\n")))
	for _, fault := range []string{"stale-reports", "lost-reports", "planner-pause", "planner-crash"} {
		err := validateFaults(loadScenario(t, "faults: [{fault: "+fault+", at: 1s, length: 1s}]\n"))
		require.ErrorContains(t, err, "fault "+fault+" can be run in virtual time alone")
	}
}

func TestWatcherRecordsCrashAndRestart(t *testing.T) {
	definition := loadScenario(t, "")
	started, err := engine.Start(engine.Config{
		Name: "assessor-hall-a-1", Service: "assessor", Zone: "hall-a", Address: "127.0.0.4:0", // outgoing connections do not use this address, so the port stays free for the restart
		Role: enginecontract.RoleMixed, Model: "assessor",
	})
	require.NoError(t, err)
	t.Cleanup(started.Close)
	watcher := newWatcher([]*engine.Engine{started}, definition, time.Now())
	observe := func(since time.Duration) experiment.RoleCount {
		watcher.update(watcher.engines[0], since)
		watcher.addSample()
		return watcher.samples[len(watcher.samples)-1].Roles[0]
	}
	count := experiment.RoleCount{Service: "assessor", Zone: "hall-a"}
	mixed, out := count, count
	mixed.Mixed, out.Out = 1, 1
	require.Equal(t, mixed, observe(time.Second))
	started.Crash()
	require.Equal(t, out, observe(2*time.Second))
	require.NoError(t, started.Restart())
	require.Equal(t, mixed, observe(3*time.Second))
	require.Len(t, watcher.events, 2)
	require.Equal(t, experiment.EventFault, watcher.events[0].Type)
	require.Equal(t, experiment.EventRecovered, watcher.events[1].Type)
	require.Equal(t, 3.0, watcher.events[1].AtSeconds)
}
