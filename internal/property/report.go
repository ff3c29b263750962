package property

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Breach is one way to break a promise.
type Breach string

// Breaches.
const (
	// FalseNotRun: callers were told "not run" and the request ran.
	FalseNotRun Breach = "false not run"
	// FalseRan: callers were told "ran" and the request did not run.
	FalseRan Breach = "false ran"
	// RunTwice: a request that may run once ran more often.
	RunTwice Breach = "run twice"
	// RepeatedTooOften: a repeatable request ran more often than gateways may begin it.
	RepeatedTooOften Breach = "repeated too often"
	// MixedAnswer: an answer has text that is not its own.
	MixedAnswer Breach = "mixed answer"
	// ShortAnswer: an answer was called whole and is not.
	ShortAnswer Breach = "short answer"
	// SharedCache: a tenant was served from another tenant's cache.
	SharedCache Breach = "shared cache"
	// CutByStop: a gateway that stopped in good order left requests behind.
	CutByStop Breach = "cut by a stop"
)

// Violation is one breach that a run found.
type Violation struct {
	Breach Breach
	Detail string
}

// Report is what a run counted.
type Report struct {
	Seed uint64
	// Requests of callers and their sendings; Whole answers among those.
	Requests        int
	Attempts        int
	CompleteAnswers int
	// Verdicts counts sendings by the verdict that callers were told; the empty verdict
	// counts those that ended without one.
	Verdicts map[string]int
	// Executions at engines and page services.
	Executions int
	// KVTransfers are the caches that decode engines took over from prefill engines.
	KVTransfers int
	// Faults counts what struck, by name.
	Faults     map[string]int
	Violations []Violation
}

// FaultCount is the number of faults that struck.
func (r *Report) FaultCount() int {
	sum := 0
	for _, count := range r.Faults {
		sum += count
	}
	return sum
}

// Add adds the counts of another run.
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

// String lists the counts.
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
