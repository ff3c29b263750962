package scale

import (
	"fmt"
	"io"
	"slices"

	"github.com/gravitational/trace"
	"github.com/jedib0t/go-pretty/v6/table"
)

// DrillReport is what a drill has shown.
type DrillReport struct {
	Drill       string  `json:"drill"`
	Loss        string  `json:"loss"`
	Plan        Plan    `json:"plan"`
	HoldSeconds float64 `json:"hold_seconds"`
	// Steps are the recoveries, in order.
	Steps []DrillStep `json:"steps"`
	// Calm is the load before the loss, Load that from the loss to the last recovery.
	Calm      DrillLoad      `json:"calm"`
	Load      DrillLoad      `json:"load"`
	Requests  DrillRequests  `json:"requests"`
	Revisions DrillRevisions `json:"revisions"`
	Notes     []string       `json:"notes"`
	// Failures are the promises that did not hold; empty when all did.
	Failures []string `json:"failures"`
}

// DrillStep is one thing that recovered, or did not.
type DrillStep struct {
	What string `json:"what"`
	// At is when it was done, from the start of the drill.
	At      float64 `json:"at_seconds"`
	Seconds float64 `json:"seconds"`
	Failed  bool    `json:"failed,omitempty"`
}

// DrillLoad is the load of control over a part of a drill.
type DrillLoad struct {
	Seconds float64 `json:"seconds"`
	// Calls a second that controllers answered, over all and at the busiest one; Peak is
	// the most at one controller within one sample.
	Calls        float64 `json:"calls_per_second"`
	BusiestCalls float64 `json:"busiest_calls_per_second"`
	PeakCalls    float64 `json:"peak_calls_per_second"`
	// CallsInASecond is the most at one controller within one second.
	CallsInASecond float64 `json:"calls_in_a_second"`
	// NodeBytes are a node's bytes a second, mean and largest, both directions.
	NodeBytes        float64 `json:"node_bytes_per_second"`
	LargestNodeBytes float64 `json:"largest_node_bytes_per_second"`
	// ControllerBytes are a controller's bytes a second on all its connections.
	ControllerBytes float64 `json:"controller_bytes_per_second"`
	// Dials are connections that nodes opened.
	Dials int64 `json:"dials"`
	// LeaderChanges are the times that another controller was seen to lead.
	LeaderChanges int `json:"leader_changes"`
}

// DrillRequests are the requests that nodes decided on during the whole drill.
type DrillRequests struct {
	Decided  int64            `json:"decided"`
	Refused  int64            `json:"refused"`
	Refusals map[string]int64 `json:"refusals"`
	// ToLost are the requests sent to engines that were lost; each is sent on elsewhere
	// after the connection failed.
	ToLost int64 `json:"to_lost"`
}

// DrillRevisions tell how configuration fared.
type DrillRevisions struct {
	Last     uint64 `json:"last"`
	Accepted int    `json:"accepted"`
	Nodes    int    `json:"nodes"`
	Missing  int    `json:"missing"`
	Reverted int    `json:"reverted"`
	// SlowestMax is the longest time from a change's acceptance, or from the node's last
	// start or heal, to in force there.
	SlowestMax float64 `json:"slowest_max_seconds"`
}

// Failed returns the failures as an error; nil when there is none.
func (r *DrillReport) Failed() error {
	if len(r.Failures) == 0 {
		return nil
	}
	return trace.Errorf("drill %s: %d promises did not hold, the first: %s", r.Drill, len(r.Failures), r.Failures[0])
}

// Write prints the report as tables.
func (r *DrillReport) Write(out io.Writer) {
	plan := r.Plan
	fmt.Fprintf(out, "drill %s: %s\n", r.Drill, r.Loss)
	fmt.Fprintf(out, "%d nodes, %d replicas, %d tenants, %d zones in %d regions, %d voters, %d standbys; held %.0f s\n",
		plan.Nodes, plan.Replicas, plan.Tenants, plan.Zones, plan.Regions, plan.Controllers, plan.Standbys, r.HoldSeconds)
	steps := table.NewWriter()
	steps.AppendHeader(table.Row{"at s", "what", "seconds", ""})
	for _, step := range r.Steps {
		mark := ""
		if step.Failed {
			mark = "FAILED"
		}
		steps.AppendRow(table.Row{fmt.Sprintf("%.1f", step.At), step.What, fmt.Sprintf("%.2f", step.Seconds), mark})
	}
	fmt.Fprintln(out, steps.Render())
	loads := table.NewWriter()
	loads.AppendHeader(table.Row{"load", "s", "calls/s", "busiest", "peak", "node KB/s", "largest", "controller KB/s", "dials", "leader changes"})
	loads.AppendRow(r.Calm.row("before"))
	loads.AppendRow(r.Load.row("from the loss on"))
	fmt.Fprintln(out, loads.Render())
	fmt.Fprintf(out, "requests: %d decided, %d refused (%.2f%%) %v, %d sent to engines that were lost\n",
		r.Requests.Decided, r.Requests.Refused, 100*r.Requests.refusedShare(), r.Requests.Refusals, r.Requests.ToLost)
	fmt.Fprintf(out, "configuration: %d changes accepted, last revision %d in force at %d of %d nodes, slowest %.2f s, reverted at %d\n",
		r.Revisions.Accepted, r.Revisions.Last, r.Revisions.Nodes-r.Revisions.Missing, r.Revisions.Nodes, r.Revisions.SlowestMax, r.Revisions.Reverted)
	for _, note := range r.Notes {
		fmt.Fprintln(out, note)
	}
	for _, failure := range r.Failures {
		fmt.Fprintln(out, "FAILED:", failure)
	}
}

func (r DrillRequests) refusedShare() float64 {
	if r.Decided == 0 {
		return 0
	}
	return float64(r.Refused) / float64(r.Decided)
}

func (l DrillLoad) row(name string) table.Row {
	return table.Row{
		name, fmt.Sprintf("%.1f", l.Seconds), fmt.Sprintf("%.0f", l.Calls), fmt.Sprintf("%.0f", l.BusiestCalls), fmt.Sprintf("%.0f", l.PeakCalls),
		kilobytes(l.NodeBytes), kilobytes(l.LargestNodeBytes), kilobytes(l.ControllerBytes), l.Dials, l.LeaderChanges,
	}
}

// reverted reports whether an older revision ever followed a newer one here, over all
// starts of the node.
func (n *Node) reverted() bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return !slices.IsSortedFunc(n.inForce, func(a, b InForce) int { return int(int64(a.Revision) - int64(b.Revision)) })
}
