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

// Report is the result of one seed.
type Report struct {
	Seed uint64 `json:"seed"`
	// Sendings counts the clients' attempts, Served those that succeeded, Refused those whose response promised that
	// the request has not run.
	Sendings int `json:"sendings"`
	Served   int `json:"served"`
	Refused  int `json:"refused"`
	// Arrivals counts the requests that reached back ends, Crashed those whose back end crashed while it ran them.
	Arrivals int `json:"arrivals"`
	Crashed  int `json:"crashed"`
	// Changes counts the configurations that were acknowledged.
	Changes  int                       `json:"changes"`
	Orders   int                       `json:"orders"`
	Faults   map[history.FaultKind]int `json:"faults"`
	Findings []check.Finding           `json:"findings"`
	// Overdue counts the clients that had no answer at their deadline.
	Overdue check.Overdue `json:"overdue"`
	// FirstTries counts clients' first tries while relays were cut off from back ends; nil in runs without such cuts.
	FirstTries *check.FirstTries `json:"first_tries,omitempty"`
	// TakenUp counts the streams that clients took up; nil in runs with one software version whose routes do not move.
	TakenUp *check.TakenUp `json:"taken_up,omitempty"`
	// Clauses counts the streams that break the clauses of the rule ORDER; nil in runs without releases and moves.
	Clauses *check.Clauses `json:"clauses,omitempty"`
	// ControllerCuts reports on the cuts among the controllers; nil in runs without them.
	ControllerCuts *check.ControllerCuts `json:"controller_cuts,omitempty"`
	// FinalFault reports on the fault that ended the run; nil in runs without one.
	FinalFault *check.AfterFinalFault `json:"final_fault,omitempty"`
	// Pressure reports on the service with few slots; nil in runs without it.
	Pressure *PressureReport `json:"pressure,omitempty"`
}

// reportOf counts the events of a recorded history.
func reportOf(options Options, recorded *history.History, faults map[history.FaultKind]int, findings []check.Finding) Report {
	report := Report{
		Seed: options.Seed, Sendings: len(recorded.Sendings), Arrivals: len(recorded.Arrivals), Orders: len(recorded.Orders), Faults: faults, Findings: findings,
		Overdue: check.CountOverdue(recorded), FinalFault: check.MeasureFinalFault(recorded),
	}
	if options.BackEndCuts {
		tries := check.CountFirstTries(recorded)
		report.FirstTries = &tries
	}
	if options.ControllerCuts {
		cuts := check.CountControllerCuts(recorded)
		report.ControllerCuts = &cuts
	}
	if options.resumesLater() {
		clauses := check.CountClauses(recorded)
		report.Clauses = &clauses
	}
	if options.Versions || options.resumesLater() {
		takenUp := check.CountTakenUp(recorded)
		report.TakenUp = &takenUp
	}
	if options.Pressure {
		report.Pressure = pressureReportOf(recorded)
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

// String formats the report on a few lines.
func (r Report) String() string {
	var text strings.Builder
	fmt.Fprintf(&text, "seed %d: %d attempts, %d served, %d refused; %d arrivals, %d ended their back end; %d configurations, %d orders; faults:",
		r.Seed, r.Sendings, r.Served, r.Refused, r.Arrivals, r.Crashed, r.Changes, r.Orders)
	for _, kind := range slices.Sorted(maps.Keys(r.Faults)) {
		fmt.Fprintf(&text, " %s %d", kind, r.Faults[kind])
	}
	fmt.Fprintf(&text, "\n  %s", r.Overdue)
	if r.FirstTries != nil {
		fmt.Fprintf(&text, "\n  %s", r.FirstTries)
	}
	if r.ControllerCuts != nil {
		fmt.Fprintf(&text, "\n  %s", r.ControllerCuts)
	}
	if r.FinalFault != nil {
		fmt.Fprintf(&text, "\n  %s", r.FinalFault)
	}
	if r.TakenUp != nil {
		fmt.Fprintf(&text, "\n  %s", r.TakenUp)
	}
	if r.Clauses != nil {
		fmt.Fprintf(&text, "\n  %s", r.Clauses)
	}
	if r.Pressure != nil {
		fmt.Fprintf(&text, "\n  %s", r.Pressure)
	}
	printed := map[check.Rule]int{}
	for _, finding := range r.Findings {
		if printed[finding.Rule]++; printed[finding.Rule] <= maxPrinted {
			fmt.Fprintf(&text, "\n  %s", finding)
		}
	}
	for _, rule := range slices.Sorted(maps.Keys(printed)) {
		if more := printed[rule] - maxPrinted; more > 0 {
			fmt.Fprintf(&text, "\n  %s %d times more", rule, more)
		}
	}
	return text.String()
}

// maxPrinted bounds the findings of one rule that a report prints; history.json holds the evidence of the others.
const maxPrinted = 10

// Err returns an error when a rule was broken, otherwise nil.
func (r Report) Err() error {
	if len(r.Findings) == 0 {
		return nil
	}
	return trace.CompareFailed("seed %d broke %d rules", r.Seed, len(r.Findings))
}
