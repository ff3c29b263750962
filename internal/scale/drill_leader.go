package scale

import (
	"context"
	"sync"

	"github.com/gravitational/trace"
)

const (
	burstOperators   = 4
	burstPerOperator = 10
	// burstBeforeLoss is how many changes are accepted before the leader dies.
	burstBeforeLoss = 10
)

// runLeader kills the leader during a burst of changes by several operators, who resend
// what was not answered.
func runLeader(ctx context.Context, d *drilling) error {
	first := d.lastAccepted()
	if first == 0 {
		change, err := d.change(ctx)
		if err != nil {
			return trace.Wrap(err)
		}
		first = change.Revision
	}
	var operators sync.WaitGroup
	limited, cancel := context.WithTimeout(ctx, recoveryLimit)
	defer cancel()
	for range burstOperators {
		operators.Go(func() { d.burst(limited) })
	}
	if err := until(limited, func() bool { return d.acceptedCount() > burstBeforeLoss }); err != nil {
		return trace.Wrap(err)
	}
	leader, err := d.fleet.KillLeader(ctx)
	if err != nil {
		return trace.Wrap(err)
	}
	d.recovers(ctx, "every change of the burst is accepted", func(context.Context) error {
		operators.Wait()
		return nil
	})
	revision := d.lastAccepted()
	d.recovers(ctx, "the last of them is in force", func(ctx context.Context) error {
		return d.waitNodes(ctx, d.fleet.Nodes, revision)
	})
	d.require(revision == first+burstOperators*burstPerOperator,
		"%d changes made %d revisions: each must be accepted once", burstOperators*burstPerOperator, revision-first)
	if err := d.hold(ctx); err != nil {
		return trace.Wrap(err)
	}
	return d.comesBack(ctx, loss{controllers: []int{leader}})
}

// burst submits one operator's changes.
func (d *drilling) burst(ctx context.Context) {
	for range burstPerOperator {
		if _, err := d.change(ctx); err != nil {
			d.fail("a change of the burst: %v", err)
			return
		}
	}
}

func (d *drilling) acceptedCount() int {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return len(d.accepted)
}
