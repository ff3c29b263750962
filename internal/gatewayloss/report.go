package gatewayloss

import (
	"fmt"
	"io"
	"time"

	"github.com/gravitational/trace"
	"github.com/jedib0t/go-pretty/v6/table"

	"github.com/hazelpitch/hazelpitch/internal/load"
)

// maxFindings bounds the wrongly cut answers that are spelled out.
const maxFindings = 10

// Report is what a run did and found.
type Report struct {
	Faults []Fault `json:"faults"`
	// LostWithGateway counts answers that ended with a killed gateway, NotConnected those
	// sent to one that was away: both are allowed.
	LostWithGateway int `json:"lost_with_gateway"`
	NotConnected    int `json:"not_connected"`
	// WronglyCut counts answers without their end for which no outage accounts.
	WronglyCut int      `json:"wrongly_cut"`
	Findings   []string `json:"findings,omitempty"`
	// Resent counts sendings of once-only requests that had lost an answer, Settled the
	// keys among them that got their answer, Unknown those told that they may have run.
	Resent  int `json:"resent"`
	Settled int `json:"settled"`
	Unknown int `json:"unknown"`
	// Unsettled counts keys whose caller gave up without either.
	Unsettled int         `json:"unsettled"`
	Load      load.Report `json:"load"`
}

// Fault is one thing that was done to the fleet.
type Fault struct {
	Kind   string `json:"kind"`
	Target string `json:"target"`
	// InFlight is what the target worked on just before.
	InFlight int `json:"in_flight"`
	// BackAfterMs is the time from the signal until it served again.
	BackAfterMs float64 `json:"back_after_ms"`
	// Clean tells that a stopped gateway ended by itself.
	Clean bool `json:"clean"`
}

// Failed returns an error when a promise broke.
func (r Report) Failed() error {
	unclean := 0
	for _, fault := range r.Faults {
		if fault.Kind == string(stopGateway) && !fault.Clean {
			unclean++
		}
	}
	if r.WronglyCut+r.Unsettled+r.Load.Mixed+r.Load.NotSent+unclean == 0 && r.Load.Audit.Clean() {
		return nil
	}
	return trace.Errorf("%d wrongly cut, %d unsettled, %d mixed, %d not sent, %d false not-run, %d false ran, %d run twice, %d stops that needed a kill",
		r.WronglyCut, r.Unsettled, r.Load.Mixed, r.Load.NotSent, r.Load.Audit.FalseNotRun, r.Load.Audit.FalseRan, r.Load.Audit.Doubled, unclean)
}

// Write prints the report as tables, the load's own first.
func (r Report) Write(out io.Writer) {
	r.Load.Write(out)
	faults := table.NewWriter()
	faults.SetOutputMirror(out)
	faults.SetStyle(table.StyleLight)
	faults.AppendHeader(table.Row{"fault", "target", "in flight", "back after ms"})
	for _, fault := range r.Faults {
		faults.AppendRow(table.Row{fault.Kind, fault.Target, fault.InFlight, fault.BackAfterMs})
	}
	faults.Render()
	for _, finding := range r.Findings {
		fmt.Fprintln(out, "  "+finding)
	}
	fmt.Fprintf(out, "%d faults: %d answers ended with their killed gateway, %d requests met a gateway that was away, %d wrongly cut\n",
		len(r.Faults), r.LostWithGateway, r.NotConnected, r.WronglyCut)
	fmt.Fprintf(out, "once-only requests sent again %d times: %d got their answer, %d were told that they may have run, %d unsettled\n",
		r.Resent, r.Settled, r.Unknown, r.Unsettled)
	fmt.Fprintf(out, "requests %d, false not-run %d, false ran %d, run twice %d, mixed or short %d\n",
		r.Load.Sent, r.Load.Audit.FalseNotRun, r.Load.Audit.FalseRan, r.Load.Audit.Doubled, r.Load.Mixed)
}

// add judges the results of the load.
func (r *Report) add(results []load.Result, outages []outage) {
	keys := make(map[string][]load.Result)
	for _, result := range results {
		if result.Key != "" {
			keys[result.Key] = append(keys[result.Key], result)
		}
		switch judge(result, outages) {
		case lostWithGateway:
			r.LostWithGateway++
		case notConnected:
			r.NotConnected++
		case wronglyCut:
			r.WronglyCut++
			if len(r.Findings) < maxFindings {
				r.Findings = append(r.Findings, fmt.Sprintf("%s %s at %s until %s after %v: %s",
					result.Kind, result.Outcome, result.Gateway, result.Ended.Format(time.TimeOnly), result.Total.Round(time.Millisecond), result.Detail))
			}
		}
	}
	for _, sendings := range keys {
		r.addKey(sendings)
	}
}

// addKey counts how a once-only request ended that lost an answer; its results are in the
// order of their ends.
func (r *Report) addKey(sendings []load.Result) {
	lost := false
	for _, each := range sendings {
		lost = lost || each.Outcome == load.Lost || each.Outcome == load.Cut
	}
	if !lost {
		return
	}
	r.Resent += len(sendings) - 1
	switch last := sendings[len(sendings)-1]; {
	case last.Outcome == load.Completed:
		r.Settled++
	case last.MayHaveRun():
		r.Unknown++
	default:
		r.Unsettled++
	}
}
