package leaderloss

import (
	"context"
	"fmt"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/fleet"
	"github.com/hazelpitch/hazelpitch/internal/language"
	"github.com/hazelpitch/hazelpitch/internal/load"
	"github.com/hazelpitch/hazelpitch/internal/standin/engine"
)

const (
	// attemptTimeout is how long an operator waits for one controller before it calls the
	// next; attemptPause is the time between two calls.
	attemptTimeout = 400 * time.Millisecond
	attemptPause   = 20 * time.Millisecond
	// statePoll is the time between two checks whether a state has been reached.
	statePoll = 5 * time.Millisecond
	// stateTimeout limits the wait for a state.
	stateTimeout = 60 * time.Second
)

// run is the state of one run and its concurrent tasks.
type run struct {
	options     Options
	fleet       *fleet.Fleet
	operator    *fleet.Operator
	controllers []*fleet.Process
	roleChanger *roleChanger
	// changedEngines have their roles changed throughout the run; spareEngine gets orders
	// only after a loss, so that no drain delays the order that is measured.
	changedEngines   []*engine.Engine
	spareEngine      *engine.Engine
	recorder         *recorder
	changes          *markerChanges
	gatewayRevisions map[string]*revisionHistory
	faults           []string
}

// Run injects every kind of leader loss in sequence and returns a report. An error means that
// the run could not continue; violated conditions are in the report.
func Run(ctx context.Context, options Options) (Report, error) {
	r, err := newRun(options)
	if err != nil {
		return Report{}, trace.Wrap(err)
	}
	if err := r.relaxBounds(ctx); err != nil {
		return Report{}, trace.Wrap(err)
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	tasks, taskContext := errgroup.WithContext(ctx)
	r.startBackgroundTasks(taskContext, tasks)
	sent := make(chan loadResult, 1)
	loadContext, stopSending := context.WithCancel(ctx)
	defer stopSending()
	go func() {
		report, err := load.Run(loadContext, options.Load)
		sent <- loadResult{report: report, err: err}
	}()
	faultErr := r.injectFaults(taskContext)
	stopSending()
	result := <-sent
	stop()
	if err := tasks.Wait(); err != nil {
		return Report{}, trace.Wrap(err)
	}
	if faultErr != nil || result.err != nil {
		return Report{}, trace.NewAggregate(faultErr, result.err)
	}
	report := Report{Faults: r.faults, Load: result.report}
	return report, trace.Wrap(r.conclude(context.WithoutCancel(ctx), &report))
}

type loadResult struct {
	report load.Report
	err    error
}

func newRun(options Options) (*run, error) {
	chosen := chooseEngines(options.Fleet.StandIns.Engines, options.OrderedEngines+1)
	if len(chosen) < 2 {
		return nil, trace.BadParameter("the deployment has %d mixed engines; at least 2 are needed", len(chosen))
	}
	r := &run{
		options: options, fleet: options.Fleet, recorder: newRecorder(),
		operator:         options.Fleet.OperatorWithTimeouts(attemptTimeout, attemptPause),
		controllers:      options.Fleet.ProcessesOf(fleet.RoleController),
		spareEngine:      chosen[0],
		changedEngines:   chosen[1:],
		gatewayRevisions: make(map[string]*revisionHistory),
	}
	r.roleChanger = &roleChanger{operator: r.operator}
	r.changes = &markerChanges{operator: r.operator, recorder: r.recorder, lastNumber: 1}
	for _, gateway := range options.Fleet.ProcessesOf(fleet.RoleGateway) {
		r.gatewayRevisions[gateway.Name] = &revisionHistory{}
	}
	return r, nil
}

// relaxBounds allows all engines whose roles are changed to be out of service at once, so
// that a long drain does not delay other orders.
func (r *run) relaxBounds(ctx context.Context) error {
	files, err := load.Declarations(r.fleet.Deployment)
	if err != nil {
		return trace.Wrap(err)
	}
	objects, err := language.ParseDeclarations(files)
	if err != nil {
		return trace.Wrap(err)
	}
	widened := []*v1.Object{}
	for _, object := range objects {
		if bound := object.GetBound(); bound != nil {
			bound.MaximumOut = uint32(len(r.changedEngines) + 2)
			widened = append(widened, object)
		}
	}
	if len(widened) == 0 {
		return nil
	}
	answer, err := r.operator.Apply(ctx, []*v1.SourceFile{{Name: "bounds.hzl", Text: language.Format(widened)}})
	if err != nil {
		return trace.Wrap(err)
	}
	r.changes.lastNumber = max(r.changes.lastNumber, answer.GetChangeNumber())
	return nil
}

// startBackgroundTasks starts the tasks that run during all faults.
func (r *run) startBackgroundTasks(ctx context.Context, tasks *errgroup.Group) {
	tasks.Go(func() error { return r.changes.run(ctx) })
	for _, changed := range r.changedEngines {
		tasks.Go(func() error { r.roleChanger.run(ctx, changed); return nil })
	}
	for _, gateway := range r.fleet.ProcessesOf(fleet.RoleGateway) {
		tasks.Go(func() error { r.gatewayRevisions[gateway.Name].follow(ctx, gateway, r.recorder); return nil })
	}
	tasks.Go(func() error { r.pollRevision(ctx); return nil })
}

// pollRevision repeatedly queries the applied revision: an answer must include every change
// that was accepted before the query.
func (r *run) pollRevision(ctx context.Context) {
	for ctx.Err() == nil {
		accepted := r.changes.highestRevision()
		answer, err := r.operator.Execute(ctx, "show revision")
		if err == nil {
			finding := ""
			if answer.GetRevision() < accepted {
				finding = fmt.Sprintf("revision %d was accepted, and later a controller answered that %d is in force", accepted, answer.GetRevision())
			}
			r.recorder.addCheck(conditionRevert, finding)
		}
		sleep(ctx, roleChangePause)
	}
}

// waitUntil waits until a state is reached, at most stateTimeout; what names the state in the error.
func (r *run) waitUntil(ctx context.Context, what string, reached func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	for !reached() {
		if ctx.Err() != nil {
			return trace.Errorf("not reached: %s", what)
		}
		sleep(ctx, statePoll)
	}
	return nil
}
