package engine

import (
	"fmt"
	"sync"
)

// Run counts the executions of one prompt by one engine.
type Run struct {
	// Started counts exchanges that began to execute.
	Started int `json:"started"`
	// Finished counts exchanges that ran to completion.
	Finished int `json:"finished"`
	// Prefilled counts prefills for another engine.
	Prefilled int `json:"prefilled"`
}

// Totals counts all executions of one engine.
type Totals struct {
	Started   int `json:"started"`
	Finished  int `json:"finished"`
	Prefilled int `json:"prefilled"`
	Cancelled int `json:"cancelled"`
	Refused   int `json:"refused"`
	Imported  int `json:"imported"`
	// RoleChanges counts completed role changes.
	RoleChanges int `json:"role_changes"`
	// CutByChange counts exchanges that a change cancelled; 0 unless the safeguard DrainFirst is disabled.
	CutByChange int `json:"cut_by_change"`
}

// Plus returns the sum of two counts.
func (t Totals) Plus(other Totals) Totals {
	t.Started += other.Started
	t.Finished += other.Finished
	t.Prefilled += other.Prefilled
	t.Cancelled += other.Cancelled
	t.Refused += other.Refused
	t.Imported += other.Imported
	t.RoleChanges += other.RoleChanges
	t.CutByChange += other.CutByChange
	return t
}

// Minus returns what was counted since an earlier count.
func (t Totals) Minus(earlier Totals) Totals {
	return t.Plus(Totals{
		Started: -earlier.Started, Finished: -earlier.Finished, Prefilled: -earlier.Prefilled,
		Cancelled: -earlier.Cancelled, Refused: -earlier.Refused, Imported: -earlier.Imported,
		RoleChanges: -earlier.RoleChanges, CutByChange: -earlier.CutByChange,
	})
}

// Report is the answer to GET /bench/runs. Prompts are keyed by their hash in hexadecimal.
type Report struct {
	Engine  string         `json:"engine"`
	Totals  Totals         `json:"totals"`
	Prompts map[string]Run `json:"prompts"`
}

// runs counts the engine's executions for hazelbench; the counts survive crashes of the engine.
type runs struct {
	mutex   sync.Mutex
	totals  Totals
	prompts map[uint64]Run
}

func newRuns() *runs { return &runs{prompts: make(map[uint64]Run)} }

func (r *runs) count(prompt uint64, change func(*Run, *Totals)) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	run := r.prompts[prompt]
	change(&run, &r.totals)
	if run != (Run{}) {
		r.prompts[prompt] = run
	}
}

// Runs reports what the engine has executed since its first start.
func (e *Engine) Runs() Report {
	e.runs.mutex.Lock()
	defer e.runs.mutex.Unlock()
	report := Report{Engine: e.config.Name, Totals: e.runs.totals, Prompts: make(map[string]Run, len(e.runs.prompts))}
	for prompt, run := range e.runs.prompts {
		report.Prompts[PromptKey(prompt)] = run
	}
	return report
}

// PromptKey returns a prompt's hash as it is written in Report.
func PromptKey(hash uint64) string { return fmt.Sprintf("%016x", hash) }
