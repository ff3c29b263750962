package property

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Breach is a kind of violation.
type Breach string

// Kinds of violations.
const (
	// FalseNotRun is a request with the verdict "not run" that ran.
	FalseNotRun Breach = "false not run"
	// FalseRan is a request with the verdict "ran" that did not run.
	FalseRan Breach = "false ran"
	// RunTwice is a request that may run once and ran more often.
	RunTwice Breach = "run twice"
	// RepeatedTooOften is a repeatable request that ran more often than gateways may begin it.
	RepeatedTooOften Breach = "repeated too often"
	// MixedAnswer is a response with text that is not the request's own.
	MixedAnswer Breach = "mixed answer"
	// ShortAnswer is a response that was marked as complete and is not.
	ShortAnswer Breach = "short answer"
	// SharedCache is a request that was served from another tenant's cache.
	SharedCache Breach = "shared cache"
	// CutByStop is a gateway that did not finish its requests when it stopped gracefully.
	CutByStop Breach = "cut by a stop"
)

// Violation is one violation that a run found.
type Violation struct {
	Breach Breach
	Detail string
}

// Report holds the counts and violations of one or more runs.
type Report struct {
	Seed uint64
	// Requests counts requests, Attempts their attempts, CompleteAnswers the attempts with a complete response.
	Requests        int
	Attempts        int
	CompleteAnswers int
	// Verdicts counts attempts by the verdict that the caller got; the empty verdict counts attempts that ended without
	// one.
	Verdicts map[string]int
	// Executions counts executions at engines and page services.
	Executions int
	// KVTransfers counts the KV caches that decode engines imported from prefill engines.
	KVTransfers int
	// Faults counts the injected faults by name.
	Faults     map[string]int
	Violations []Violation
}

// FaultCount returns the number of injected faults.
func (r *Report) FaultCount() int {
	sum := 0
	for _, count := range r.Faults {
		sum += count
	}
	return sum
}

// Add adds the counts and violations of another run.
func (r *Report) Add(other *Report) {
	r.Requests += other.Requests
	r.Attempts += other.Attempts
	r.CompleteAnswers += other.CompleteAnswers
	r.Executions += other.Executions
	r.KVTransfers += other.KVTransfers
	for verdict, count := range other.Verdicts {
		r.Verdicts[verdict] += count
	}
	for fault, count := range other.Faults {
		r.Faults[fault] += count
	}
	r.Violations = append(r.Violations, other.Violations...)
}

// String formats the counts.
func (r *Report) String() string {
	var text strings.Builder
	fmt.Fprintf(&text, "%d requests in %d sendings, %d whole answers, %d executions, %d hand-overs, %d faults, %d violations\n",
		r.Requests, r.Attempts, r.CompleteAnswers, r.Executions, r.KVTransfers, r.FaultCount(), len(r.Violations))
	for _, verdict := range slices.Sorted(maps.Keys(r.Verdicts)) {
		fmt.Fprintf(&text, "  told %-28q %d\n", verdict, r.Verdicts[verdict])
	}
	for _, fault := range slices.Sorted(maps.Keys(r.Faults)) {
		fmt.Fprintf(&text, "  %-32s  %d\n", fault, r.Faults[fault])
	}
	return text.String()
}
