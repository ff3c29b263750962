package leaderloss

import (
	"context"
	"fmt"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"

	"github.com/hazelpitch/hazelpitch/internal/fleet"
)

// loseLeaders lets every fault happen, one after the other.
func (r *run) loseLeaders(ctx context.Context) error {
	faults := []struct {
		name  string
		cause func(context.Context) error
	}{
		{"kill the leader during a role change and restart it", r.killLeader},
		{"pause the leader past its lease and resume it", r.pauseLeader},
		{"kill a second controller right after the first came back", r.killSecond},
		{"replace the disk of a controller and kill another once its new disk has a vote", r.replaceDisk},
	}
	for round := range r.options.Rounds {
		for _, fault := range faults {
			r.begin(fmt.Sprintf("round %d: %s", round+1, fault.name))
			if err := fault.cause(ctx); err != nil {
				return trace.Wrap(err, fault.name)
			}
		}
	}
	r.begin(fmt.Sprintf("restart a controller that missed %d changes", r.options.MissedChanges))
	return trace.Wrap(r.missChanges(ctx))
}

func (r *run) begin(fault string) {
	r.faults = append(r.faults, fault)
	fmt.Fprintln(r.options.Progress, fault)
}

// killLeader kills the leader while an engine carries out an order.
func (r *run) killLeader(ctx context.Context) error {
	leader, err := r.leaderInChange(ctx)
	if err != nil {
		return trace.Wrap(err)
	}
	if err := r.lose(ctx, leader.Kill); err != nil {
		return trace.Wrap(err)
	}
	return r.restart(ctx, leader)
}

// pauseLeader stops the leader's execution for longer than its lease; it then goes
// on as if it led.
func (r *run) pauseLeader(ctx context.Context) error {
	leader, err := r.leaderInChange(ctx)
	if err != nil {
		return trace.Wrap(err)
	}
	resumeAt := time.Now().Add(r.options.LeaderPause)
	lost := r.lose(ctx, leader.Suspend)
	sleep(ctx, time.Until(resumeAt))
	leader.Resume()
	if lost != nil {
		return trace.Wrap(lost)
	}
	return r.untilCaughtUp(ctx, leader)
}

// killSecond kills the leader, restarts it, and kills the next one once the first
// is back: what the first missed must not be lost.
func (r *run) killSecond(ctx context.Context) error {
	first, err := r.leaderInChange(ctx)
	if err != nil {
		return trace.Wrap(err)
	}
	if err := r.lose(ctx, first.Kill); err != nil {
		return trace.Wrap(err)
	}
	if err := r.restart(ctx, first); err != nil {
		return trace.Wrap(err)
	}
	second, err := r.leader(ctx)
	if err != nil {
		return trace.Wrap(err)
	}
	if err := r.lose(ctx, second.Kill); err != nil {
		return trace.Wrap(err)
	}
	return r.restart(ctx, second)
}

// replaceDisk gives a follower an empty disk, waits until its new disk has a vote,
// and kills another controller: the quorum then needs the new one.
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
	err = r.until(ctx, follower.Name+" has a vote with its new disk, and its old disk none", func() bool {
		present, err := r.members(ctx)
		return err == nil && present.replaced(before, follower.Listen)
	})
	if err != nil {
		return trace.Wrap(err)
	}
	r.recorder.measured(diskToVoter, time.Since(began))
	return r.killLeader(ctx)
}

// missChanges restarts a follower that missed many changes.
func (r *run) missChanges(ctx context.Context) error {
	follower, err := r.follower(ctx)
	if err != nil {
		return trace.Wrap(err)
	}
	follower.Kill()
	first := r.changes.last()
	if err := r.submitMany(ctx, first+uint64(r.options.MissedChanges)); err != nil {
		return trace.Wrap(err)
	}
	began := time.Now()
	missed := r.changes.last()
	if err := follower.Start(); err != nil {
		return trace.Wrap(err)
	}
	err = r.until(ctx, follower.Name+" has caught up", func() bool {
		revision, err := revisionOf(follower)
		return err == nil && revision >= missed
	})
	r.recorder.measured(restartMissed, time.Since(began))
	return trace.Wrap(err)
}

// submitMany submits changes from several operators at once until a revision is reached.
func (r *run) submitMany(ctx context.Context, revision uint64) error {
	const operators = 8
	failures := make(chan error, operators)
	for range operators {
		go func() {
			for r.changes.last() < revision {
				if err := r.changes.race(ctx); err != nil {
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

// lose takes the leader away and measures until another leader has a change accepted,
// its fence at every engine, and an order accepted by an engine that waits for one.
func (r *run) lose(ctx context.Context, takeAway func()) error {
	engines := r.fleet.StandIns.Engines
	if err := r.until(ctx, r.spare.Name()+" serves", func() bool { return serves(r.spare) }); err != nil {
		return trace.Wrap(err)
	}
	epoch := highestEpoch(engines)
	began := time.Now()
	takeAway()
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	go r.orders.run(ctx, r.spare)
	return r.awaitNextLeader(ctx, began, epoch)
}

// awaitNextLeader measures what the next leader does, from the loss of the last one.
func (r *run) awaitNextLeader(ctx context.Context, began time.Time, epoch uint64) error {
	signs := []struct {
		measured string
		seen     func() (time.Time, bool)
	}{
		{lossToChange, func() (time.Time, bool) { return r.changes.acceptedAfter(began) }},
		{lossToFence, func() (time.Time, bool) { return time.Now(), fencedAbove(r.fleet.StandIns.Engines, epoch) }},
		{lossToOrder, func() (time.Time, bool) { return orderAbove(r.spare, epoch) }},
	}
	waits, ctx := errgroup.WithContext(ctx)
	for _, sign := range signs {
		waits.Go(func() error {
			var at time.Time
			err := r.until(ctx, sign.measured, func() (seen bool) {
				at, seen = sign.seen()
				return seen
			})
			if err == nil {
				r.recorder.measured(sign.measured, at.Sub(began))
			}
			return trace.Wrap(err)
		})
	}
	return trace.Wrap(waits.Wait())
}

// restart starts a controller again and waits until it has all that was accepted.
func (r *run) restart(ctx context.Context, controller *fleet.Process) error {
	if err := controller.Start(); err != nil {
		return trace.Wrap(err)
	}
	return r.untilCaughtUp(ctx, controller)
}

// untilCaughtUp waits until a controller has what is accepted now.
func (r *run) untilCaughtUp(ctx context.Context, controller *fleet.Process) error {
	accepted := r.changes.last()
	return r.until(ctx, controller.Name+" has caught up", func() bool {
		revision, err := revisionOf(controller)
		return err == nil && revision >= accepted
	})
}

// leaderInChange waits until an engine carries out an order and returns the leader.
func (r *run) leaderInChange(ctx context.Context) (*fleet.Process, error) {
	leader, err := r.leader(ctx)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	err = r.until(ctx, "an engine carries out an order", func() bool { return underWay(r.changed) })
	return leader, trace.Wrap(err)
}
