// Package demand adds up the demand that gateways report, as input of the planner. It is pure, so that the controller
// and the experiment tool run the same code.
package demand

import (
	"cmp"
	"maps"
	"slices"
	"time"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/planner"
)

const (
	// reportLifetime is how long after its arrival a gateway's report counts.
	reportLifetime = 10 * time.Second
	// defaultWindow is the window assumed for a report that does not state the time that it covers.
	defaultWindow = time.Second
	// maxDemandsPerReport bounds the kinds in one report; the rest is ignored.
	maxDemandsPerReport = 256
	// maxReporters bounds the gateways whose reports are stored.
	maxReporters = 2000
)

// Table holds the last report of each gateway.
type Table struct{ reports map[string]*report }

type report struct {
	zone    string
	at      time.Duration
	window  time.Duration
	demands []*v1.Demand
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{reports: map[string]*report{}} }

// RecordReport replaces a gateway's report. It ignores new gateways beyond maxReporters.
func (t *Table) RecordReport(now time.Duration, node *v1.NodeIdentity, request *v1.ReportRequest) {
	window := time.Duration(request.WindowMs) * time.Millisecond
	if window <= 0 {
		window = defaultWindow
	}
	if t.reports[node.GetName()] == nil && len(t.reports) >= maxReporters {
		return
	}
	demands := request.Demands
	t.reports[node.GetName()] = &report{
		zone: node.GetZone(), at: now, window: window, demands: demands[:min(len(demands), maxDemandsPerReport)],
	}
}

// DropExpired drops reports that no longer count.
func (t *Table) DropExpired(now time.Duration) {
	for name, report := range t.reports {
		if now-report.at > reportLifetime {
			delete(t.reports, name)
		}
	}
}

// rowKey identifies one row of the planner's input: the demand of a kind of request in a zone.
type rowKey struct{ kind, zone string }

// rowSum sums one row over the gateways.
type rowSum struct {
	arrivalsPerSecond float64
	arrivals          float64
	// withOutput counts the requests that generated output.
	withOutput                 float64
	completedPerSecond         float64
	lostPerSecond              float64
	promptTokens, outputTokens float64
	age                        time.Duration
}

// Rows returns the demand of one service by kind and zone, sorted.
func (t *Table) Rows(now time.Duration, service string) []planner.DemandObservation {
	sums := map[rowKey]*rowSum{}
	for _, name := range slices.Sorted(maps.Keys(t.reports)) {
		report := t.reports[name]
		if now-report.at > reportLifetime {
			continue
		}
		for _, demand := range report.demands {
			if demand.Service == service {
				report.addTo(sums, now, demand)
			}
		}
	}
	return sortedRows(sums)
}

func (r *report) addTo(sums map[rowKey]*rowSum, now time.Duration, demand *v1.Demand) {
	key := rowKey{demand.Kind, r.zone}
	sum := sums[key]
	if sum == nil {
		sum = &rowSum{}
		sums[key] = sum
	}
	sum.arrivals += float64(demand.Arrivals)
	sum.arrivalsPerSecond += float64(demand.Arrivals) / r.window.Seconds()
	sum.completedPerSecond += float64(demand.Completed) / r.window.Seconds()
	sum.lostPerSecond += float64(demand.Refused+demand.MissedDeadline) / r.window.Seconds()
	sum.withOutput += float64(demand.Completed + demand.MissedDeadline)
	sum.promptTokens += float64(demand.PromptTokens)
	sum.outputTokens += float64(demand.OutputTokens)
	sum.age = max(sum.age, now-r.at)
}

func sortedRows(sums map[rowKey]*rowSum) []planner.DemandObservation {
	keys := make([]rowKey, 0, len(sums))
	for key := range sums {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b rowKey) int {
		if a.kind != b.kind {
			return cmp.Compare(a.kind, b.kind)
		}
		return cmp.Compare(a.zone, b.zone)
	})
	var rows []planner.DemandObservation
	for _, key := range keys {
		sum := sums[key]
		row := planner.DemandObservation{
			Kind: key.kind, Zone: key.zone, ArrivalsPerSecond: sum.arrivalsPerSecond, Age: sum.age,
		}
		row.CompletedPerSecond, row.LostPerSecond = sum.completedPerSecond, sum.lostPerSecond
		if sum.arrivals > 0 {
			row.PromptTokens = sum.promptTokens / sum.arrivals
		}
		if sum.withOutput > 0 { // refused requests have no output
			row.OutputTokens = sum.outputTokens / sum.withOutput
		}
		rows = append(rows, row)
	}
	return rows
}
