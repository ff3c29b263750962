package scale

import (
	"context"

	"github.com/gravitational/trace"
)

// rackPart is the part of a zone that a rack holds: a tenth.
const rackPart = 10

// runRack loses a rack in a zone with a controller that votes and does not lead.
func runRack(ctx context.Context, d *drilling) error {
	leader, err := d.fleet.Leader(ctx)
	if err != nil {
		return trace.Wrap(err)
	}
	voter := (leader + 1) % d.fleet.Plan.Controllers
	return d.loseAndRestore(ctx, d.fleet.rackLoss(d.fleet.Plan.ControllerZone(voter), rackPart))
}

// runZone loses the leader's zone.
func runZone(ctx context.Context, d *drilling) error {
	leader, err := d.fleet.Leader(ctx)
	if err != nil {
		return trace.Wrap(err)
	}
	return d.loseAndRestore(ctx, d.fleet.zoneLoss(d.fleet.Plan.ControllerZone(leader)))
}

// runTwoFaults loses another zone than the leader's together with the leader, and once
// all is repaired the next leader.
func runTwoFaults(ctx context.Context, d *drilling) error {
	leader, err := d.fleet.Leader(ctx)
	if err != nil {
		return trace.Wrap(err)
	}
	voter := (leader + 1) % d.fleet.Plan.Controllers
	lost := d.fleet.zoneLoss(d.fleet.Plan.ControllerZone(voter))
	if d.fleet.Plan.Controllers >= 5 { // with three voters the second would end the quorum
		lost.controllers = append(lost.controllers, leader)
	} else {
		lost.controllers = []int{leader}
	}
	if err := d.loseAndRestore(ctx, lost); err != nil {
		return trace.Wrap(err)
	}
	next, err := d.fleet.KillLeader(ctx)
	if err != nil {
		return trace.Wrap(err)
	}
	d.changeIsInForce(ctx, d.fleet.Nodes)
	return d.comesBack(ctx, loss{controllers: []int{next}})
}
