package scale

import (
	"context"
	"fmt"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/hazelpitch/hazelpitch/internal/pause"
)

const (
	// recoveryLimit is how long anything may take to recover before it counts as failed.
	recoveryLimit = 60 * time.Second
	// inForceLimit is the users' bound from acceptance to in force everywhere.
	inForceLimit = 11 * time.Second
	drillPoll    = 10 * time.Millisecond
)

// Drill brings about one of the failures that a fleet must outlive.
type Drill struct {
	Name string
	// Loss says what is lost, for operators.
	Loss string
	run  func(ctx context.Context, d *drilling) error
}

// Drills lists the drills by name.
func Drills() []Drill {
	return []Drill{
		{"day", "24 machines fail and 75 are restarted, one after the other", runDay},
		{"leader", "the leader dies during a burst of changes", runLeader},
		{"rack", "a tenth of a zone's engines and nodes and its controller are lost", runRack},
		{"region", "the leader's region is cut off from the others", runRegion},
		{"regions", "two regions lose each other and both reach the third", runRegions},
		{"restart", "all nodes of a zone restart at once", runRestart},
		{"two-faults", "a zone and the leader are lost together, and the next leader right after the repair", runTwoFaults},
		{"zone", "the leader's zone is lost", runZone},
	}
}

// FindDrill returns a drill by its name.
func FindDrill(name string) (Drill, error) {
	all := Drills()
	position := slices.IndexFunc(all, func(drill Drill) bool { return drill.Name == name })
	if position < 0 {
		return Drill{}, trace.NotFound("no drill is named %q", name)
	}
	return all[position], nil
}

// DrillOptions are one drill from start to end.
type DrillOptions struct {
	Options
	Traffic TrafficOptions
	// Settle is the time of calm before the loss, in which the usual load is counted.
	Settle time.Duration
	// Hold is how long what is lost stays lost.
	Hold time.Duration
	// Progress receives a line for each step; nil drops them.
	Progress io.Writer
}

// drilling is a drill under way.
type drilling struct {
	fleet    *Fleet
	options  DrillOptions
	report   *DrillReport
	watch    *drillWatch
	traffic  *Traffic
	changes  int // submitted so far
	mutex    sync.Mutex
	accepted []Change
	began    time.Time
}

// RunDrill starts a fleet, brings about the loss, waits until everything has recovered
// and stops the fleet. What did not recover as promised is in the report's Failures.
func RunDrill(ctx context.Context, drill Drill, options DrillOptions) (*DrillReport, error) {
	if options.Progress == nil {
		options.Progress = io.Discard
	}
	fleet, err := startDeclared(ctx, options.Options)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	defer fleet.Close()
	running, stop := context.WithCancel(ctx)
	defer stop()
	d := &drilling{
		fleet: fleet, options: options, watch: newDrillWatch(fleet), began: time.Now(),
		report: &DrillReport{Drill: drill.Name, Loss: drill.Loss, Plan: fleet.Plan, HoldSeconds: options.Hold.Seconds()},
	}
	options.Traffic.Decided = d.watch.decided
	d.traffic = fleet.StartTraffic(running, options.Traffic)
	go d.watch.run(running)
	if !pause.For(ctx, options.Settle) {
		return nil, trace.Wrap(ctx.Err())
	}
	d.report.Calm = d.watch.window()
	if err := drill.run(ctx, d); err != nil {
		return nil, trace.Wrap(err, "drill %s", drill.Name)
	}
	d.conclude(ctx)
	d.report.Load = d.watch.window()
	return d.report, nil
}

// conclude submits a last change and checks that it is in force at every node and
// controller and that nothing reverted.
func (d *drilling) conclude(ctx context.Context) {
	d.recovers(ctx, "a last change is in force at every node", func(ctx context.Context) error {
		change, err := d.change(ctx)
		if err != nil {
			return trace.Wrap(err)
		}
		d.report.Revisions.Last = change.Revision
		return trace.Wrap(d.fleet.WaitRevision(ctx, change.Revision))
	})
	d.recovers(ctx, "every controller has it", func(ctx context.Context) error {
		return trace.Wrap(d.waitControllers(ctx, d.report.Revisions.Last))
	})
	revisions := &d.report.Revisions
	revisions.Accepted = len(d.accepted)
	for _, node := range d.fleet.Nodes {
		revisions.Nodes++
		if node.Revision() != revisions.Last {
			revisions.Missing++
		}
		if node.reverted() {
			revisions.Reverted++
		}
	}
	revisions.SlowestMax = d.watch.slowest(d.accepted)
	d.report.Requests = d.watch.requests()
	d.require(revisions.Missing == 0, "%d nodes are not at revision %d", revisions.Missing, revisions.Last)
	d.require(revisions.Reverted == 0, "%d nodes went back to an older revision", revisions.Reverted)
}

// change submits the next change of the drill.
func (d *drilling) change(ctx context.Context) (Change, error) {
	d.mutex.Lock()
	number := d.changes
	d.changes++
	d.mutex.Unlock()
	change, err := d.fleet.Change(ctx, number)
	if err != nil {
		return Change{}, trace.Wrap(err)
	}
	d.mutex.Lock()
	d.accepted = append(d.accepted, change)
	d.mutex.Unlock()
	return change, nil
}

// recovers waits for something to recover and reports how long that took. When it takes
// too long, that is a failure of the drill.
func (d *drilling) recovers(ctx context.Context, what string, wait func(context.Context) error) {
	limited, cancel := context.WithTimeout(ctx, recoveryLimit)
	defer cancel()
	began := time.Now()
	err := wait(limited)
	d.note(what, time.Since(began), err)
}

// note reports a recovery.
func (d *drilling) note(what string, took time.Duration, err error) {
	step := DrillStep{What: what, At: time.Since(d.began).Seconds(), Seconds: took.Seconds()}
	if err != nil {
		step.Failed = true
		d.fail("%s: not after %.1f s: %v", what, took.Seconds(), err)
	}
	d.mutex.Lock()
	d.report.Steps = append(d.report.Steps, step)
	d.mutex.Unlock()
	fmt.Fprintf(d.options.Progress, "%6.1f s  %s: %.2f s\n", step.At, what, step.Seconds)
}

func (d *drilling) require(holds bool, format string, arguments ...any) {
	if !holds {
		d.fail(format, arguments...)
	}
}

func (d *drilling) fail(format string, arguments ...any) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.report.Failures = append(d.report.Failures, fmt.Sprintf(format, arguments...))
}

// hold lets the loss last.
func (d *drilling) hold(ctx context.Context) error {
	if !pause.For(ctx, d.options.Hold) {
		return trace.Wrap(ctx.Err())
	}
	return nil
}

// until polls until a condition holds.
func until(ctx context.Context, holds func() bool) error {
	for !holds() {
		if !pause.For(ctx, drillPoll) {
			return trace.Wrap(ctx.Err())
		}
	}
	return nil
}
