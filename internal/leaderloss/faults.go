package leaderloss

import (
	"context"
	"fmt"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"

	"github.com/hazelpitch/hazelpitch/internal/fleet"
)

// injectFaults injects every fault in sequence.
func (r *run) injectFaults(ctx context.Context) error {
	faults := []struct {
		name   string
		inject func(context.Context) error
	}{
		{"kill the leader during a role change and restart it", r.killLeader},
		{"pause the leader past its lease and resume it", r.pauseLeader},
		{"kill a second controller right after the first came back", r.killTwoInSuccession},
		{"replace the disk of a controller and kill another once its new disk has a vote", r.replaceDisk},
	}
	for round := range r.options.Rounds {
		for _, fault := range faults {
			r.recordFault(fmt.Sprintf("round %d: %s", round+1, fault.name))
			if err := fault.inject(ctx); err != nil {
				return trace.Wrap(err, fault.name)
			}
		}
	}
	r.recordFault(fmt.Sprintf("restart a controller that missed %d changes", r.options.MissedChanges))
	return trace.Wrap(r.missChanges(ctx))
}

func (r *run) recordFault(fault string) {
	r.faults = append(r.faults, fault)
	fmt.Fprintln(r.options.Progress, fault)
}

// killLeader kills the leader while an engine is carrying out an order.
func (r *run) killLeader(ctx context.Context) error {
	leader, err := r.leaderDuringOrder(ctx)
	if err != nil {
		return trace.Wrap(err)
	}
	if err := r.loseLeader(ctx, leader.Kill); err != nil {
		return trace.Wrap(err)
	}
	return r.restart(ctx, leader)
}

// pauseLeader suspends the leader for longer than its lease; when it resumes, it still
// believes that it leads.
func (r *run) pauseLeader(ctx context.Context) error {
	leader, err := r.leaderDuringOrder(ctx)
	if err != nil {
		return trace.Wrap(err)
	}
	resumeAt := time.Now().Add(r.options.LeaderPause)
	lost := r.loseLeader(ctx, leader.Suspend)
	sleep(ctx, time.Until(resumeAt))
	leader.Resume()
	if lost != nil {
		return trace.Wrap(lost)
	}
	return r.waitUntilCaughtUp(ctx, leader)
}

// killTwoInSuccession kills the leader, restarts it, and kills the next leader once the first
// has caught up: changes that the first missed must not be lost.
func (r *run) killTwoInSuccession(ctx context.Context) error {
	first, err := r.leaderDuringOrder(ctx)
	if err != nil {
		return trace.Wrap(err)
	}
	if err := r.loseLeader(ctx, first.Kill); err != nil {
		return trace.Wrap(err)
	}
	if err := r.restart(ctx, first); err != nil {
		return trace.Wrap(err)
	}
	second, err := r.leader(ctx)
	if err != nil {
		return trace.Wrap(err)
	}
	if err := r.loseLeader(ctx, second.Kill); err != nil {
		return trace.Wrap(err)
	}
	return r.restart(ctx, second)
}

// replaceDisk gives a follower an empty disk, waits until it has a vote again, and kills
// another controller, so that the quorum depends on the new disk.
func (r *run) replaceDisk(ctx context.Context) error {
	follower, err := r.follower(ctx)
	if err != nil {
		return trace.Wrap(err)
	}
	follower.Kill()
	if err := follower.ReplaceDisk(); err != nil {
		return trace.Wrap(err)
	}
	before, err := r.members(ctx)
	if err != nil {
		return trace.Wrap(err)
	}
	began := time.Now()
	if err := follower.Start(); err != nil {
		return trace.Wrap(err)
	}
	err = r.waitUntil(ctx, follower.Name+" has a vote with its new disk, and its old disk none", func() bool {
		members, err := r.members(ctx)
		return err == nil && members.hasReplaced(before, follower.Listen)
	})
	if err != nil {
		return trace.Wrap(err)
	}
	r.recorder.addMeasurement(newDiskToVote, time.Since(began))
	return r.killLeader(ctx)
}

// missChanges restarts a follower that missed many changes.
func (r *run) missChanges(ctx context.Context) error {
	follower, err := r.follower(ctx)
	if err != nil {
		return trace.Wrap(err)
	}
	follower.Kill()
	first := r.changes.highestRevision()
	if err := r.submitMany(ctx, first+uint64(r.options.MissedChanges)); err != nil {
		return trace.Wrap(err)
	}
	began := time.Now()
	missed := r.changes.highestRevision()
	if err := follower.Start(); err != nil {
		return trace.Wrap(err)
	}
	err = r.waitUntil(ctx, follower.Name+" has caught up", func() bool {
		revision, err := revisionOf(follower)
		return err == nil && revision >= missed
	})
	r.recorder.addMeasurement(restartToCaughtUp, time.Since(began))
	return trace.Wrap(err)
}

// submitMany submits changes from several operators at once until a revision is reached.
func (r *run) submitMany(ctx context.Context, revision uint64) error {
	const operators = 8
	failures := make(chan error, operators)
	for range operators {
		go func() {
			for r.changes.highestRevision() < revision {
				if err := r.changes.submitPair(ctx); err != nil {
					failures <- err
					return
				}
			}
			failures <- nil
		}()
	}
	var all []error
	for range operators {
		all = append(all, <-failures)
	}
	return trace.NewAggregate(all...)
}

// loseLeader stops the leader and measures the time until another leader has accepted a
// change, fenced every engine, and had an order accepted by the spare engine.
func (r *run) loseLeader(ctx context.Context, stopLeader func()) error {
	engines := r.fleet.StandIns.Engines
	if err := r.waitUntil(ctx, r.spareEngine.Name()+" serves", func() bool { return isServing(r.spareEngine) }); err != nil {
		return trace.Wrap(err)
	}
	epoch := highestEpoch(engines)
	began := time.Now()
	stopLeader()
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	go r.roleChanger.run(ctx, r.spareEngine)
	return r.measureNextLeader(ctx, began, epoch)
}

// measureNextLeader measures the time from began, when the leader was lost, until the next leader reaches each
// milestone. epoch is the highest epoch in the engines' fences before the loss.
func (r *run) measureNextLeader(ctx context.Context, began time.Time, epoch uint64) error {
	milestones := []struct {
		measurement string
		reached     func() (time.Time, bool)
	}{
		{lossToChange, func() (time.Time, bool) { return r.changes.acceptedAfter(began) }},
		{lossToFence, func() (time.Time, bool) { return time.Now(), allFencedAbove(r.fleet.StandIns.Engines, epoch) }},
		{lossToOrder, func() (time.Time, bool) { return firstOrderAbove(r.spareEngine, epoch) }},
	}
	waits, ctx := errgroup.WithContext(ctx)
	for _, milestone := range milestones {
		waits.Go(func() error {
			var at time.Time
			err := r.waitUntil(ctx, milestone.measurement, func() (seen bool) {
				at, seen = milestone.reached()
				return seen
			})
			if err == nil {
				r.recorder.addMeasurement(milestone.measurement, at.Sub(began))
			}
			return trace.Wrap(err)
		})
	}
	return trace.Wrap(waits.Wait())
}

// restart starts a controller and waits until it has all changes that were accepted.
func (r *run) restart(ctx context.Context, controller *fleet.Process) error {
	if err := controller.Start(); err != nil {
		return trace.Wrap(err)
	}
	return r.waitUntilCaughtUp(ctx, controller)
}

// waitUntilCaughtUp waits until a controller has all changes that are accepted by now.
func (r *run) waitUntilCaughtUp(ctx context.Context, controller *fleet.Process) error {
	accepted := r.changes.highestRevision()
	return r.waitUntil(ctx, controller.Name+" has caught up", func() bool {
		revision, err := revisionOf(controller)
		return err == nil && revision >= accepted
	})
}

// leaderDuringOrder returns the leader once an engine is carrying out an order.
func (r *run) leaderDuringOrder(ctx context.Context) (*fleet.Process, error) {
	leader, err := r.leader(ctx)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	err = r.waitUntil(ctx, "an engine carries out an order", func() bool { return anyOrderInProgress(r.changedEngines) })
	return leader, trace.Wrap(err)
}
