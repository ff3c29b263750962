package gatewayloss

import (
	"fmt"
	"io"
	"time"

	"github.com/gravitational/trace"
	"github.com/jedib0t/go-pretty/v6/table"

	"github.com/hazelpitch/hazelpitch/internal/load"
)

// maxFindings limits the wrongly cut answers that are listed.
const maxFindings = 10

// Report is the result of a run.
type Report struct {
	Faults []Fault `json:"faults"`
	// LostWithGateway counts answers that ended with a killed gateway, NotConnected those
	// sent to a gateway while it was down; both are allowed.
	LostWithGateway int `json:"lost_with_gateway"`
	NotConnected    int `json:"not_connected"`
	// WronglyCut counts incomplete answers that no outage explains.
	WronglyCut int      `json:"wrongly_cut"`
	Findings   []string `json:"findings,omitempty"`
	// Of the at-most-once requests that lost an answer, Resent counts the further attempts,
	// Settled the keys that were answered, and Unknown those whose last verdict was may have run.
	Resent  int `json:"resent"`
	Settled int `json:"settled"`
	Unknown int `json:"unknown"`
	// Unsettled counts keys whose caller gave up without an answer and without that verdict.
	Unsettled int         `json:"unsettled"`
	Load      load.Report `json:"load"`
}

// Fault is one fault that was injected into the fleet.
type Fault struct {
	Kind   string `json:"kind"`
	Target string `json:"target"`
	// InFlight is the number of requests in flight at the target just before the fault; -1 is unknown.
	InFlight int `json:"in_flight"`
	// BackAfterMs is the time from the fault until the target served again, in milliseconds.
	BackAfterMs float64 `json:"back_after_ms"`
	// Clean is true if a stopped gateway exited without being killed.
	Clean bool `json:"clean"`
}

// Failed returns an error when a guarantee was violated.
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

// Write prints the load report and then this report as tables.
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

// addResults classifies the results of the load.
func (r *Report) addResults(results []load.Result, outages []outage) {
	keys := make(map[string][]load.Result)
	for _, result := range results {
		if result.Key != "" {
			keys[result.Key] = append(keys[result.Key], result)
		}
		switch classify(result, outages) {
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
	for _, attempts := range keys {
		r.addAttempts(attempts)
	}
}

// addAttempts counts the outcome of an at-most-once request that lost an answer; its results
// are in order of their ends.
func (r *Report) addAttempts(attempts []load.Result) {
	lost := false
	for _, each := range attempts {
		lost = lost || each.Outcome == load.Lost || each.Outcome == load.Cut
	}
	if !lost {
		return
	}
	r.Resent += len(attempts) - 1
	switch last := attempts[len(attempts)-1]; {
	case last.Outcome == load.Completed:
		r.Settled++
	case last.MayHaveRun():
		r.Unknown++
	default:
		r.Unsettled++
	}
}
