package scale

import (
	"context"
	"sync"
	"time"

	"github.com/gravitational/trace"
)

// quietTime is how long no request may go to a lost engine to count as quiet.
const quietTime = 3 * time.Second

// loss is what a drill takes away and brings back.
type loss struct {
	nodes       []*Node
	engines     []string
	controllers []int
	// busy are those of the engines that got requests before they were lost.
	busy []string
}

// zoneLoss is everything in a zone.
func (f *Fleet) zoneLoss(zone int) loss {
	return loss{nodes: f.NodesIn(zone), engines: f.EnginesIn(zone), controllers: f.controllersIn(zone)}
}

// rackLoss is a part of a zone's engines and nodes, at least one of each, and its
// controllers.
func (f *Fleet) rackLoss(zone, part int) loss {
	whole := f.zoneLoss(zone)
	whole.nodes = whole.nodes[:(len(whole.nodes)+part-1)/part]
	whole.engines = whole.engines[:(len(whole.engines)+part-1)/part]
	return whole
}

func (f *Fleet) controllersIn(zone int) []int {
	var found []int
	for controller := range f.controllers {
		if f.Plan.ControllerZone(controller) == zone {
			found = append(found, controller)
		}
	}
	return found
}

// lose ends everything of a loss at once.
func (d *drilling) lose(lost loss) error {
	d.watch.lose(lost.engines)
	var group sync.WaitGroup
	for _, node := range lost.nodes {
		group.Go(node.Stop)
	}
	for _, controller := range lost.controllers {
		group.Go(func() { d.fleet.KillController(controller) })
	}
	err := d.fleet.StopEngines(lost.engines...)
	group.Wait()
	return trace.Wrap(err)
}

// restore brings everything of a loss back at once.
func (d *drilling) restore(lost loss) error {
	for _, controller := range lost.controllers {
		if err := d.fleet.StartController(controller); err != nil {
			return trace.Wrap(err)
		}
	}
	if err := d.fleet.StartEngines(lost.engines...); err != nil {
		return trace.Wrap(err)
	}
	d.watch.find(lost.engines)
	d.watch.reached(lost.nodes)
	for _, node := range lost.nodes {
		if err := node.Start(); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

// loseAndRestore loses, checks that the rest goes on, holds, restores and checks that
// all is as before.
func (d *drilling) loseAndRestore(ctx context.Context, lost loss) error {
	lost.busy = d.watch.usedSoFar(lost.engines)
	began := time.Now()
	if err := d.lose(lost); err != nil {
		return trace.Wrap(err)
	}
	d.goesOn(ctx, lost, began)
	if err := d.hold(ctx); err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(d.comesBack(ctx, lost))
}

// goesOn checks that what is left takes changes and stops using what is lost.
func (d *drilling) goesOn(ctx context.Context, lost loss, began time.Time) {
	d.changeIsInForce(ctx, d.fleet.Nodes)
	if len(lost.engines) > 0 {
		d.leavesAlone(ctx, lost, began)
	}
}

// leavesAlone waits until no request has gone to a lost engine for a while, and notes how
// long after the loss the last one did.
func (d *drilling) leavesAlone(ctx context.Context, lost loss, began time.Time) {
	limited, cancel := context.WithTimeout(ctx, recoveryLimit)
	defer cancel()
	last := func() time.Time {
		if at := d.watch.quiet(); at.After(began) {
			return at
		}
		return began
	}
	err := until(limited, func() bool { return time.Since(last()) >= quietTime })
	d.note("the last request to a lost engine", last().Sub(began), err)
}

// comesBack restores and checks that what was lost is used again.
func (d *drilling) comesBack(ctx context.Context, lost loss) error {
	if err := d.restore(lost); err != nil {
		return trace.Wrap(err)
	}
	revision := d.lastAccepted()
	if len(lost.nodes) > 0 {
		d.recovers(ctx, "the nodes are back with the last change", func(ctx context.Context) error {
			return d.waitNodes(ctx, lost.nodes, revision)
		})
	}
	if len(lost.controllers) > 0 {
		d.recovers(ctx, "the controllers are back with the last change", func(ctx context.Context) error {
			return d.waitControllers(ctx, revision)
		})
	}
	if len(lost.busy) > 0 {
		d.recovers(ctx, "half of the engines that were busy get requests again", func(ctx context.Context) error {
			return until(ctx, func() bool { return 2*d.watch.used(lost.busy) >= len(lost.busy) })
		})
	}
	return nil
}

// changeIsInForce submits a change and waits until it is in force at those of the nodes
// that run.
func (d *drilling) changeIsInForce(ctx context.Context, nodes []*Node) {
	var change Change
	d.recovers(ctx, "a change is accepted", func(ctx context.Context) (err error) {
		change, err = d.change(ctx)
		return err
	})
	if change.Revision == 0 {
		return
	}
	d.recovers(ctx, "it is in force", func(ctx context.Context) error {
		return d.waitNodes(ctx, nodes, change.Revision)
	})
}

// waitNodes waits until a revision is in force at those of the nodes that run.
func (d *drilling) waitNodes(ctx context.Context, nodes []*Node, revision uint64) error {
	return until(ctx, func() bool { return missingAt(nodes, revision) == 0 })
}

// missingAt counts the running nodes where a revision is not in force.
func missingAt(nodes []*Node, revision uint64) int {
	missing := 0
	for _, node := range nodes {
		if control := node.Control(); control != nil && control.Revision() < revision {
			missing++
		}
	}
	return missing
}

// waitControllers waits until every controller has applied a revision.
func (d *drilling) waitControllers(ctx context.Context, revision uint64) error {
	for controller := range d.fleet.controllers {
		err := until(ctx, func() bool {
			read, err := d.fleet.scrapeController(ctx, controller)
			return err == nil && uint64(read.sum("hazelpitch_controller_revision")) >= revision
		})
		if err != nil {
			return trace.Wrap(err, "%s", ControllerName(controller))
		}
	}
	return nil
}

// lastAccepted is the highest revision that was accepted so far.
func (d *drilling) lastAccepted() uint64 {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	var last uint64
	for _, change := range d.accepted {
		last = max(last, change.Revision)
	}
	return last
}

// changeSteadily submits a change each interval until the context ends, and returns
// when the last is answered.
func (d *drilling) changeSteadily(ctx, running context.Context, interval time.Duration) <-chan error {
	ended := make(chan error, 1)
	go func() {
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for {
			select {
			case <-running.Done():
				ended <- nil
				return
			case <-ticker.C:
			}
			limited, cancel := context.WithTimeout(ctx, recoveryLimit)
			_, err := d.change(limited)
			cancel()
			if err != nil {
				ended <- trace.Wrap(err, "a steady change")
				return
			}
		}
	}()
	return ended
}
