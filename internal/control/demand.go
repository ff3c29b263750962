package control

import (
	"cmp"
	"slices"
	"time"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/planner"
)

const (
	// demandLifetime is how long a gateway's report counts.
	demandLifetime = 10 * time.Second
	// defaultWindow is the window of a report that names none.
	defaultWindow = time.Second
	// maximumDemands bounds the kinds in one report; the rest is ignored.
	maximumDemands = 256
	// maximumReporters bounds the gateways whose reports are kept.
	maximumReporters = 2000
)

// demandTable holds each gateway's last report.
type demandTable struct{ reports map[string]*demandReport }

type demandReport struct {
	zone    string
	at      time.Duration
	window  time.Duration
	demands []*v1.Demand
}

func newDemandTable() *demandTable { return &demandTable{reports: map[string]*demandReport{}} }

// take replaces a gateway's report.
func (t *demandTable) take(now time.Duration, node *v1.NodeIdentity, request *v1.ReportRequest) {
	window := time.Duration(request.WindowMs) * time.Millisecond
	if window <= 0 {
		window = defaultWindow
	}
	if t.reports[node.GetName()] == nil && len(t.reports) >= maximumReporters {
		return
	}
	demands := request.Demands
	t.reports[node.GetName()] = &demandReport{
		zone: node.GetZone(), at: now, window: window, demands: demands[:min(len(demands), maximumDemands)],
	}
}

// dropOld forgets reports that no longer count.
func (t *demandTable) dropOld(now time.Duration) {
	for name, report := range t.reports {
		if now-report.at > demandLifetime {
			delete(t.reports, name)
		}
	}
}

// demandKey identifies one row of the planner's demand.
type demandKey struct{ kind, zone string }

// demandSum adds up one row over the gateways.
type demandSum struct {
	arrivalsPerSecond     float64
	arrivals              float64
	promptTokens, outputs float64
	age                   time.Duration
}

// of sums the demand of one service by kind and zone, sorted.
func (t *demandTable) of(now time.Duration, service string) []planner.DemandObservation {
	sums := map[demandKey]*demandSum{}
	for _, name := range sortedKeys(t.reports) {
		report := t.reports[name]
		if now-report.at > demandLifetime {
			continue
		}
		for _, demand := range report.demands {
			if demand.Service == service {
				report.addTo(sums, now, demand)
			}
		}
	}
	return demandRows(sums)
}

func (r *demandReport) addTo(sums map[demandKey]*demandSum, now time.Duration, demand *v1.Demand) {
	key := demandKey{demand.Kind, r.zone}
	sum := sums[key]
	if sum == nil {
		sum = &demandSum{}
		sums[key] = sum
	}
	sum.arrivals += float64(demand.Arrivals)
	sum.arrivalsPerSecond += float64(demand.Arrivals) / r.window.Seconds()
	sum.promptTokens += float64(demand.PromptTokens)
	sum.outputs += float64(demand.OutputTokens)
	sum.age = max(sum.age, now-r.at)
}

func demandRows(sums map[demandKey]*demandSum) []planner.DemandObservation {
	keys := make([]demandKey, 0, len(sums))
	for key := range sums {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b demandKey) int {
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
		if sum.arrivals > 0 {
			row.PromptTokens = sum.promptTokens / sum.arrivals
			row.OutputTokens = sum.outputs / sum.arrivals
		}
		rows = append(rows, row)
	}
	return rows
}
