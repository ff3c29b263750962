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
	// attemptTimeout is how long an operator waits for one controller before it asks
	// the next; attemptPause lies between two of them.
	attemptTimeout = 400 * time.Millisecond
	attemptPause   = 20 * time.Millisecond
	// statePoll is the time between two looks at whether a state is reached.
	statePoll = 5 * time.Millisecond
	// stateTimeout bounds the wait for a state.
	stateTimeout = 60 * time.Second
)

// run is one run with everything that goes on in it.
type run struct {
	options     Options
	fleet       *fleet.Fleet
	operator    *fleet.Operator
	controllers []*fleet.Process
	orders      *orders
	// changed are the engines whose roles are changed all the time; spare is ordered
	// only after a loss, so that no drain holds up the measured order.
	changed  []*engine.Engine
	spare    *engine.Engine
	recorder *recorder
	changes  *changes
	inForce  map[string]*revisions
	faults   []string
}

// Run loses leaders in every way, one after the other, and reports. An error means
// that the run could not go on; broken conditions are in the report.
func Run(ctx context.Context, options Options) (Report, error) {
	r, err := newRun(options)
	if err != nil {
		return Report{}, trace.Wrap(err)
	}
	if err := r.widenBounds(ctx); err != nil {
		return Report{}, trace.Wrap(err)
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	duties, working := errgroup.WithContext(ctx)
	r.startDuties(working, duties)
	sent := make(chan loadResult, 1)
	sending, stopSending := context.WithCancel(ctx)
	defer stopSending()
	go func() {
		report, err := load.Run(sending, options.Load)
		sent <- loadResult{report: report, err: err}
	}()
	faultErr := r.loseLeaders(working)
	stopSending()
	result := <-sent
	stop()
	if err := duties.Wait(); err != nil {
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
		operator:    options.Fleet.OperatorWithTimeouts(attemptTimeout, attemptPause),
		controllers: options.Fleet.ProcessesOf(fleet.RoleController),
		spare:       chosen[0],
		changed:     chosen[1:],
		inForce:     make(map[string]*revisions),
	}
	r.orders = &orders{operator: r.operator}
	r.changes = &changes{operator: r.operator, recorder: r.recorder, number: 1}
	for _, gateway := range options.Fleet.ProcessesOf(fleet.RoleGateway) {
		r.inForce[gateway.Name] = &revisions{}
	}
	return r, nil
}

// widenBounds lets all engines whose roles are changed be out at once, so that a
// drain that lasts holds up no other order.
func (r *run) widenBounds(ctx context.Context) error {
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
			bound.MaximumOut = uint32(len(r.changed) + 2)
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
	r.changes.number = max(r.changes.number, answer.GetChangeNumber())
	return nil
}

// startDuties starts what goes on during all faults.
func (r *run) startDuties(ctx context.Context, duties *errgroup.Group) {
	duties.Go(func() error { return r.changes.run(ctx) })
	for _, changed := range r.changed {
		duties.Go(func() error { r.orders.run(ctx, changed); return nil })
	}
	for _, gateway := range r.fleet.ProcessesOf(fleet.RoleGateway) {
		duties.Go(func() error { r.inForce[gateway.Name].follow(ctx, gateway, r.recorder); return nil })
	}
	duties.Go(func() error { r.readRevision(ctx); return nil })
}

// readRevision asks for the revision in force again and again: an answer must hold
// every change that was accepted before the question.
func (r *run) readRevision(ctx context.Context) {
	for ctx.Err() == nil {
		accepted := r.changes.last()
		answer, err := r.operator.Execute(ctx, "show revision")
		if err == nil {
			finding := ""
			if answer.GetRevision() < accepted {
				finding = fmt.Sprintf("revision %d was accepted, and later a controller answered that %d is in force", accepted, answer.GetRevision())
			}
			r.recorder.checked(conditionRevert, finding)
		}
		sleep(ctx, orderPause)
	}
}

// until waits for a state.
func (r *run) until(ctx context.Context, what string, reached func() bool) error {
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
