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
	// Mixed: an answer has text that is not its own.
	Mixed Breach = "mixed answer"
	// Short: an answer was called whole and is not.
	Short Breach = "short answer"
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
	Requests int
	Sendings int
	Whole    int
	// Told counts sendings by the verdict that callers were told; the empty verdict
	// counts those that ended without one.
	Told map[string]int
	// Executions at engines and page services.
	Executions int
	// HandOvers are the caches that decode engines took over from prefill engines.
	HandOvers int
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
	r.Sendings += other.Sendings
	r.Whole += other.Whole
	r.Executions += other.Executions
	r.HandOvers += other.HandOvers
	for verdict, count := range other.Told {
		r.Told[verdict] += count
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
		r.Requests, r.Sendings, r.Whole, r.Executions, r.HandOvers, r.FaultCount(), len(r.Violations))
	for _, verdict := range slices.Sorted(maps.Keys(r.Told)) {
		fmt.Fprintf(&text, "  told %-28q %d\n", verdict, r.Told[verdict])
	}
	for _, fault := range slices.Sorted(maps.Keys(r.Faults)) {
		fmt.Fprintf(&text, "  %-32s  %d\n", fault, r.Faults[fault])
	}
	return text.String()
}
