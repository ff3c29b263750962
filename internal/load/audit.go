package load

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/gravitational/trace"

	"github.com/hazelpitch/hazelpitch/internal/http1/checkedconn"
	"github.com/hazelpitch/hazelpitch/internal/standin/engine"
	"github.com/hazelpitch/hazelpitch/internal/standin/page"
	"github.com/hazelpitch/hazelpitch/internal/verdict"
)

// maxFindings limits the findings that are described.
const maxFindings = 20

// Executions are the counts of all stand-ins together.
type Executions struct {
	Engines engine.Totals
	prompts map[string]engine.Run
	keys    map[string]int
}

// ReadExecutions reads the execution counts of every stand-in.
func ReadExecutions(engines, pages []string) (Executions, error) {
	sum := Executions{prompts: make(map[string]engine.Run), keys: make(map[string]int)}
	for _, address := range engines {
		var report engine.Report
		if err := getJSON("http://"+address+engine.PathBenchRuns, &report); err != nil {
			return sum, trace.Wrap(err)
		}
		sum.addEngine(report)
	}
	for _, address := range pages {
		var report page.Report
		if err := getJSON("http://"+address+page.PathBenchRuns, &report); err != nil {
			return sum, trace.Wrap(err)
		}
		for key, count := range report.Executions {
			sum.keys[key] += count
		}
	}
	return sum, nil
}

func (e *Executions) addEngine(report engine.Report) {
	e.Engines = e.Engines.Plus(report.Totals)
	for prompt, run := range report.Prompts {
		total := e.prompts[prompt]
		total.Started += run.Started
		total.Finished += run.Finished
		total.Prefilled += run.Prefilled
		e.prompts[prompt] = total
	}
}

func getJSON(address string, target any) error {
	status, body, err := checkedconn.Get(address)
	if err != nil {
		return trace.Wrap(err, "reading %s", address)
	}
	if status != http.StatusOK {
		return trace.Errorf("%s answered with status %d", address, status)
	}
	return trace.Wrap(json.Unmarshal(body, target))
}

// Audit compares the verdicts that callers got with what the stand-ins executed.
type Audit struct {
	// FalseNotRun counts answers with verdict not run to requests that ran.
	FalseNotRun int `json:"false_not_run"`
	// FalseRan counts answers with verdict ran, or complete ones, to requests that did not run.
	FalseRan int `json:"false_ran"`
	// Doubled counts idempotency keys that ran more than once.
	Doubled int `json:"doubled"`
	// Findings describes the first maxFindings of all these contradictions.
	Findings []string `json:"findings,omitempty"`
}

// Clean reports whether the audit found nothing.
func (a Audit) Clean() bool { return a.FalseNotRun+a.FalseRan+a.Doubled == 0 }

func (a *Audit) addFinding(counter *int, format string, arguments ...any) {
	*counter++
	if len(a.Findings) < maxFindings {
		a.Findings = append(a.Findings, fmt.Sprintf(format, arguments...))
	}
}

// auditResults compares results with executions.
func auditResults(results []Result, ran Executions) Audit {
	var found Audit
	last := lastAttempts(results)
	for _, result := range results {
		switch {
		case result.Prompt != "":
			run := ran.prompts[result.Prompt]
			found.check(result, run.Started+run.Prefilled, "prompt "+result.Prompt)
		case result.Key != "":
			if result.Ended.Before(last[result.Key]) {
				// A later attempt may be the one that ran.
				found.checkRan(result, ran.keys[result.Key], "key "+result.Key)
				continue
			}
			found.check(result, ran.keys[result.Key], "key "+result.Key)
		}
	}
	for key, count := range ran.keys {
		if count > 1 {
			found.addFinding(&found.Doubled, "key %s ran %d times", key, count)
		}
	}
	return found
}

// lastAttempts returns, for each idempotency key, the start of its last attempt whose verdict is not "not run"; only
// such an attempt may have run.
func lastAttempts(results []Result) map[string]time.Time {
	last := make(map[string]time.Time)
	for _, result := range results {
		began := result.Ended.Add(-result.Total)
		if result.Key != "" && result.Verdict != verdict.NotRun.String() && began.After(last[result.Key]) {
			last[result.Key] = began
		}
	}
	return last
}

func (a *Audit) check(result Result, runs int, name string) {
	if result.Verdict == verdict.NotRun.String() && runs > 0 {
		a.addFinding(&a.FalseNotRun, "%s %s: %d %s says not run, but it ran %d times", result.Kind, name, result.Status, result.Code, runs)
		return
	}
	a.checkRan(result, runs, name)
}

func (a *Audit) checkRan(result Result, runs int, name string) {
	if (result.Verdict == verdict.Ran.String() || result.Outcome == Completed) && runs == 0 {
		a.addFinding(&a.FalseRan, "%s %s: %d says ran, but it did not run", result.Kind, name, result.Status)
	}
}
