package leaderloss

import (
	"fmt"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/jedib0t/go-pretty/v6/table"

	"github.com/hazelpitch/hazelpitch/internal/load"
)

// Names of the measurements.
const (
	lossToChange      = "leader loss to next accepted change"
	lossToFence       = "leader loss to the next fence at every engine"
	lossToOrder       = "leader loss to next engine order"
	acceptedToApplied = "change accepted to in force at the slowest gateway"
	restartToCaughtUp = "restart to caught up after missed changes"
	newDiskToVote     = "start on a new disk to a vote"
)

// Names of the conditions.
const (
	conditionOrders  = "engines hold no conflicting orders"
	conditionRevert  = "configuration never reverts"
	conditionNumbers = "of equal change numbers one wins"
	conditionKept    = "accepted changes are kept"
)

// maxFindings limits the findings that are listed for each condition.
const maxFindings = 10

// Report is the result of a run.
type Report struct {
	Faults       []string      `json:"faults"`
	Changes      int           `json:"accepted_changes"`
	Orders       int           `json:"accepted_orders"`
	Measurements []Measurement `json:"measurements"`
	Conditions   []Condition   `json:"conditions"`
	Load         load.Report   `json:"load"`
}

// Measurement summarizes one duration, measured repeatedly, in milliseconds.
type Measurement struct {
	Name    string  `json:"name"`
	Count   int     `json:"count"`
	Median  float64 `json:"median_ms"`
	Highest float64 `json:"highest_ms"`
	// Values lists all values if there are at most maxValues.
	Values []float64 `json:"values_ms,omitempty"`
}

// Condition is one guarantee of the control plane and the violations that were found.
type Condition struct {
	Name     string   `json:"name"`
	Checked  int      `json:"checked"`
	Broken   int      `json:"broken"`
	Findings []string `json:"findings,omitempty"`
}

// maxValues limits the values that a Measurement lists.
const maxValues = 32

// recorder collects the measurements and findings of a run's tasks. It is safe for
// concurrent use.
type recorder struct {
	mutex      sync.Mutex
	times      map[string][]time.Duration
	conditions map[string]*Condition
}

func newRecorder() *recorder {
	return &recorder{times: make(map[string][]time.Duration), conditions: make(map[string]*Condition)}
}

// addMeasurement adds one duration to the measurement with a name.
func (r *recorder) addMeasurement(name string, took time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.times[name] = append(r.times[name], took)
}

// addCheck counts one check of the condition with a name; a non-empty finding is a violation.
func (r *recorder) addCheck(name, finding string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	condition := r.conditions[name]
	if condition == nil {
		condition = &Condition{Name: name}
		r.conditions[name] = condition
	}
	condition.Checked++
	if finding == "" {
		return
	}
	condition.Broken++
	if len(condition.Findings) < maxFindings {
		condition.Findings = append(condition.Findings, finding)
	}
}

// fill copies the collected results into a report, in a fixed order.
func (r *recorder) fill(report *Report) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, name := range []string{lossToChange, lossToFence, lossToOrder, acceptedToApplied, newDiskToVote, restartToCaughtUp} {
		if times := r.times[name]; len(times) > 0 {
			report.Measurements = append(report.Measurements, summarize(name, times))
		}
	}
	for _, name := range []string{conditionOrders, conditionRevert, conditionNumbers, conditionKept} {
		if condition := r.conditions[name]; condition != nil {
			report.Conditions = append(report.Conditions, *condition)
		} else {
			report.Conditions = append(report.Conditions, Condition{Name: name})
		}
	}
}

func summarize(name string, times []time.Duration) Measurement {
	sorted := slices.Sorted(slices.Values(times))
	summary := Measurement{
		Name: name, Count: len(sorted), Median: milliseconds(sorted[len(sorted)/2]), Highest: milliseconds(sorted[len(sorted)-1]),
	}
	if len(times) <= maxValues {
		for _, took := range times {
			summary.Values = append(summary.Values, milliseconds(took))
		}
	}
	return summary
}

func milliseconds(took time.Duration) float64 {
	return float64(took.Round(time.Millisecond).Milliseconds())
}

// Failed returns an error when a condition was violated or never checked, or when the load
// report failed.
func (r Report) Failed() error {
	var failures []error
	for _, condition := range r.Conditions {
		switch {
		case condition.Broken > 0:
			failures = append(failures, trace.Errorf("%s: broken %d times", condition.Name, condition.Broken))
		case condition.Checked == 0:
			failures = append(failures, trace.Errorf("%s: never checked", condition.Name))
		}
	}
	if err := r.Load.Failed(); err != nil {
		failures = append(failures, err)
	}
	return trace.NewAggregate(failures...)
}

// Write prints the load report and then this report as tables.
func (r Report) Write(out io.Writer) {
	r.Load.Write(out)
	times := newTable(out, "measured", "times", "median ms", "highest ms")
	for _, measurement := range r.Measurements {
		times.AppendRow(table.Row{measurement.Name, measurement.Count, measurement.Median, measurement.Highest})
	}
	times.Render()
	conditions := newTable(out, "condition", "checked", "broken")
	for _, condition := range r.Conditions {
		conditions.AppendRow(table.Row{condition.Name, condition.Checked, condition.Broken})
	}
	conditions.Render()
	for _, condition := range r.Conditions {
		for _, finding := range condition.Findings {
			fmt.Fprintf(out, "  %s: %s\n", condition.Name, finding)
		}
	}
	fmt.Fprintf(out, "%d faults, %d accepted changes, %d orders accepted by engines\n", len(r.Faults), r.Changes, r.Orders)
}

func newTable(out io.Writer, columns ...any) table.Writer {
	writer := table.NewWriter()
	writer.SetOutputMirror(out)
	writer.SetStyle(table.StyleLight)
	writer.AppendHeader(table.Row(columns))
	return writer
}
