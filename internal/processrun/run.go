package processrun

import (
	"context"
	"time"

	"github.com/gravitational/trace"

	"github.com/hazelpitch/hazelpitch/internal/experiment"
	"github.com/hazelpitch/hazelpitch/internal/fleet"
	"github.com/hazelpitch/hazelpitch/internal/load"
	"github.com/hazelpitch/hazelpitch/internal/scenario"
)

// PolicyName is the policy that results of runs on processes carry: the product's
// planner, as the experiments' policy "planner".
const PolicyName = "planner on processes"

// Options are what a run is started with.
type Options struct {
	// Fleet is a running fleet that was started with the scenario and is ready.
	Fleet    *fleet.Fleet
	Scenario scenario.Scenario
	// Load aims the requests; its Seed draws them.
	Load load.Options
}

// Run sends the scenario's requests, lets its faults happen, and returns the result
// and the report of the load. It ends when every request has its answer.
func Run(ctx context.Context, options Options) (experiment.Run, load.Report, error) {
	if err := checkFaults(options.Scenario); err != nil {
		return experiment.Run{}, load.Report{}, trace.Wrap(err)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	began := time.Now()
	seen := newWatcher(options.Fleet.StandIns.Engines, options.Scenario, began)
	watching, stopWatching := context.WithCancel(ctx)
	watched := make(chan struct{})
	go func() {
		defer close(watched)
		seen.run(watching)
	}()
	strike(ctx, options.Fleet.StandIns, options.Scenario, began)
	report, results, err := load.RunScenario(ctx, options.Load, options.Scenario)
	stopWatching()
	<-watched
	if err != nil {
		return experiment.Run{}, report, trace.Wrap(err)
	}
	return record(options.Scenario, options.Load.Seed, seen, results), report, nil
}
