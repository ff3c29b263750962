package load

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/gravitational/trace"
	"github.com/valyala/fasthttp"

	"github.com/hazelpitch/hazelpitch/internal/standin/engine"
	"github.com/hazelpitch/hazelpitch/internal/standin/page"
	"github.com/hazelpitch/hazelpitch/internal/verdict"
)

// maxFindings bounds the findings that are spelled out.
const maxFindings = 20

// Executions is what the stand-ins counted, summed over all of them.
type Executions struct {
	Engines engine.Totals
	prompts map[string]engine.Run
	keys    map[string]int
}

// ReadExecutions asks every stand-in what it ran.
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
		present := e.prompts[prompt]
		present.Started += run.Started
		present.Finished += run.Finished
		present.Prefilled += run.Prefilled
		e.prompts[prompt] = present
	}
}

func getJSON(address string, target any) error {
	status, body, err := fasthttp.Get(nil, address)
	if err != nil {
		return trace.Wrap(err, "asking %s", address)
	}
	if status != fasthttp.StatusOK {
		return trace.Errorf("%s answered %d", address, status)
	}
	return trace.Wrap(json.Unmarshal(body, target))
}

// Audit compares verdicts that callers got with what the stand-ins ran.
type Audit struct {
	// FalseNotRun counts answers that said not run for requests that ran.
	FalseNotRun int `json:"false_not_run"`
	// FalseRan counts answers that said ran, or were whole, for requests that did not run.
	FalseRan int `json:"false_ran"`
	// Doubled counts idempotency keys that ran more than once.
	Doubled int `json:"doubled"`
	// Findings spells out the first of them.
	Findings []string `json:"findings,omitempty"`
}

// Clean reports whether nothing was found.
func (a Audit) Clean() bool { return a.FalseNotRun+a.FalseRan+a.Doubled == 0 }

func (a *Audit) find(counter *int, format string, arguments ...any) {
	*counter++
	if len(a.Findings) < maxFindings {
		a.Findings = append(a.Findings, fmt.Sprintf(format, arguments...))
	}
}

// audit compares results with executions.
func audit(results []Result, ran Executions) Audit {
	var found Audit
	last := lastOpenSendings(results)
	for _, result := range results {
		switch {
		case result.Prompt != "":
			run := ran.prompts[result.Prompt]
			found.check(result, run.Started+run.Prefilled, "prompt "+result.Prompt)
		case result.Key != "":
			if result.Ended.Before(last[result.Key]) {
				// A later sending may be the one that ran.
				found.checkRan(result, ran.keys[result.Key], "key "+result.Key)
				continue
			}
			found.check(result, ran.keys[result.Key], "key "+result.Key)
		}
	}
	for key, count := range ran.keys {
		if count > 1 {
			found.find(&found.Doubled, "key %s ran %d times", key, count)
		}
	}
	return found
}

// lastOpenSendings returns, for each key, when the last of its sendings began that was not
// told not run: only such a sending may have run.
func lastOpenSendings(results []Result) map[string]time.Time {
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
		a.find(&a.FalseNotRun, "%s %s: %d %s says not run, but it ran %d times", result.Kind, name, result.Status, result.Code, runs)
		return
	}
	a.checkRan(result, runs, name)
}

func (a *Audit) checkRan(result Result, runs int, name string) {
	if (result.Verdict == verdict.Ran.String() || result.Outcome == Completed) && runs == 0 {
		a.find(&a.FalseRan, "%s %s: %d says ran, but it did not run", result.Kind, name, result.Status)
	}
}
