package scale

import (
	"context"

	"github.com/gravitational/trace"
)

const (
	// herdFactor and herdFloor bound the calls that the busiest controller answers within
	// a second when a zone restarts: that many times the usual, or the usual and that many
	// for each node that restarts when this is more.
	herdFactor = 2
	herdFloor  = 4
)

// runRestart restarts all nodes of the first zone at once.
func runRestart(ctx context.Context, d *drilling) error {
	d.changeIsInForce(ctx, d.fleet.Nodes) // so that there is something to come back with
	lost := loss{nodes: d.fleet.NodesIn(0)}
	if err := d.lose(lost); err != nil {
		return trace.Wrap(err)
	}
	d.watch.window()
	if err := d.comesBack(ctx, lost); err != nil {
		return trace.Wrap(err)
	}
	if err := d.hold(ctx); err != nil {
		return trace.Wrap(err)
	}
	load := d.watch.peek()
	usual := d.report.Calm.CallsInASecond
	bound := max(herdFactor*usual, usual+float64(herdFloor*len(lost.nodes)))
	d.require(load.CallsInASecond <= bound, "the restart took the busiest controller to %.0f calls in a second, more than %.0f", load.CallsInASecond, bound)
	d.require(load.LeaderChanges == 0, "the restart changed the leader")
	return nil
}
