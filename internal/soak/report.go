package soak

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/gravitational/trace"

	"github.com/hazelpitch/hazelpitch/internal/soak/check"
	"github.com/hazelpitch/hazelpitch/internal/soak/history"
)

// Report is what one seed showed.
type Report struct {
	Seed uint64 `json:"seed"`
	// Sendings are the clients' attempts, Served those that got a success, Refused those that were told
	// that they have not run.
	Sendings int `json:"sendings"`
	Served   int `json:"served"`
	Refused  int `json:"refused"`
	// Arrivals are requests at back ends, Crashed those under which one ended.
	Arrivals int `json:"arrivals"`
	Crashed  int `json:"crashed"`
	// Changes are the configurations that were acknowledged.
	Changes  int                       `json:"changes"`
	Orders   int                       `json:"orders"`
	Faults   map[history.FaultKind]int `json:"faults"`
	Findings []check.Finding           `json:"findings"`
}

// reportOf counts what was seen.
func reportOf(options Options, recorded *history.History, faults map[history.FaultKind]int, findings []check.Finding) Report {
	report := Report{
		Seed: options.Seed, Sendings: len(recorded.Sendings), Arrivals: len(recorded.Arrivals), Orders: len(recorded.Orders), Faults: faults, Findings: findings,
	}
	for _, sending := range recorded.Sendings {
		switch {
		case sending.Succeeded():
			report.Served++
		case sending.PromisesNotRun():
			report.Refused++
		}
	}
	for _, arrival := range recorded.Arrivals {
		if arrival.Crashed {
			report.Crashed++
		}
	}
	for _, change := range recorded.Changes {
		if change.AckedAt > 0 {
			report.Changes++
		}
	}
	return report
}

// String writes the report on a few lines.
func (r Report) String() string {
	var text strings.Builder
	fmt.Fprintf(&text, "seed %d: %d attempts, %d served, %d refused; %d arrivals, %d ended their back end; %d configurations, %d orders; faults:",
		r.Seed, r.Sendings, r.Served, r.Refused, r.Arrivals, r.Crashed, r.Changes, r.Orders)
	for _, kind := range slices.Sorted(maps.Keys(r.Faults)) {
		fmt.Fprintf(&text, " %s %d", kind, r.Faults[kind])
	}
	printed := map[check.Rule]int{}
	for _, finding := range r.Findings {
		if printed[finding.Rule]++; printed[finding.Rule] <= mostPrinted {
			fmt.Fprintf(&text, "\n  %s", finding)
		}
	}
	for _, rule := range slices.Sorted(maps.Keys(printed)) {
		if more := printed[rule] - mostPrinted; more > 0 {
			fmt.Fprintf(&text, "\n  %s %d times more", rule, more)
		}
	}
	return text.String()
}

// mostPrinted bounds the findings of one rule that a report writes out; history.json has what shows the others.
const mostPrinted = 10

// Err returns an error when a rule was broken.
func (r Report) Err() error {
	if len(r.Findings) == 0 {
		return nil
	}
	return trace.CompareFailed("seed %d broke %d rules", r.Seed, len(r.Findings))
}
