package scale

import (
	"context"
	"fmt"
	"time"

	"github.com/gravitational/trace"
)

const (
	// changesApart is the time between changes while regions are apart.
	changesApart = time.Second
	// minorityPatience is how long an operator tries on the side without a quorum.
	minorityPatience = 4 * time.Second
)

// runRegion cuts the leader's region off. The others go on with a new leader; the region
// goes on with what it has and takes no change.
func runRegion(ctx context.Context, d *drilling) error {
	leader, err := d.fleet.Leader(ctx)
	if err != nil {
		return trace.Wrap(err)
	}
	region := d.fleet.Plan.Region(d.fleet.Plan.ControllerZone(leader))
	inside, outside := d.split(region)
	before := d.counts(region)
	if err := d.fleet.CutRegion(region); err != nil {
		return trace.Wrap(err)
	}
	d.changeIsInForce(ctx, outside)
	limited, cancel := context.WithTimeout(ctx, minorityPatience)
	_, _, err = d.fleet.SubmitIn(limited, region, KindDeclaration(0, 999))
	cancel()
	d.require(err != nil, "the region that was cut off accepted a change")
	if err := d.changesWhileApart(ctx); err != nil {
		return trace.Wrap(err)
	}
	d.require(missingAt(inside, d.lastAccepted()) == len(inside), "a change reached a node through the cut")
	d.tellServing("the region that was cut off", before, d.counts(region))
	return d.heal(ctx, inside)
}

// runRegions cuts the leader's region and another from each other. The third reaches
// both, so that changes come into force everywhere meanwhile.
func runRegions(ctx context.Context, d *drilling) error {
	leader, err := d.fleet.Leader(ctx)
	if err != nil {
		return trace.Wrap(err)
	}
	plan := d.fleet.Plan
	one := plan.Region(plan.ControllerZone(leader))
	other := (one + 1) % plan.Regions
	before := d.counts(other)
	if err := d.fleet.CutRegions(one, other); err != nil {
		return trace.Wrap(err)
	}
	d.changeIsInForce(ctx, d.fleet.Nodes)
	if err := d.changesWhileApart(ctx); err != nil {
		return trace.Wrap(err)
	}
	d.tellServing("the region without the leader", before, d.counts(other))
	far, _ := d.split(other)
	return d.heal(ctx, far)
}

// split returns the nodes inside a region and those outside.
func (d *drilling) split(region int) (inside, outside []*Node) {
	for _, node := range d.fleet.Nodes {
		if d.fleet.Plan.Region(node.Zone) == region {
			inside = append(inside, node)
		} else {
			outside = append(outside, node)
		}
	}
	return inside, outside
}

// changesWhileApart submits changes for the time of the hold.
func (d *drilling) changesWhileApart(ctx context.Context) error {
	running, stop := context.WithCancel(ctx)
	ended := d.changeSteadily(ctx, running, changesApart)
	err := d.hold(ctx)
	stop()
	if changeErr := <-ended; changeErr != nil {
		d.fail("%v", changeErr)
	}
	return err
}

// heal ends the cuts and waits until the nodes that were behind it have caught up.
func (d *drilling) heal(ctx context.Context, behind []*Node) error {
	if err := d.fleet.Heal(); err != nil {
		return trace.Wrap(err)
	}
	d.watch.reached(behind)
	revision := d.lastAccepted()
	d.recovers(ctx, "after the cut, the nodes behind it have the last change", func(ctx context.Context) error {
		return d.waitNodes(ctx, behind, revision)
	})
	d.recovers(ctx, "after the cut, all controllers have it", func(ctx context.Context) error {
		return d.waitControllers(ctx, revision)
	})
	return nil
}

// served are the requests of a region up to a time.
type served struct{ decided, refused int64 }

func (d *drilling) counts(region int) served {
	decided, refused := d.watch.regionCounts(region)
	return served{decided, refused}
}

// tellServing notes how a region's nodes served meanwhile. They must have gone on.
func (d *drilling) tellServing(where string, before, after served) {
	decided, refused := after.decided-before.decided, after.refused-before.refused
	d.report.Notes = append(d.report.Notes, fmt.Sprintf("%s decided %d requests meanwhile and refused %d of them", where, decided, refused))
	if d.options.Traffic.RequestsPerSecond > 0 {
		d.require(decided > refused, "%s served no request meanwhile", where)
	}
}
