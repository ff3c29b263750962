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

// PolicyName is the policy name in results of runs on processes. It is the product's planner, which
// experiments name "planner".
const PolicyName = "planner on processes"

// Options configure a run.
type Options struct {
	// Fleet is running and ready. It was started for Scenario, so that its engines are those of Scenario.
	Fleet    *fleet.Fleet
	Scenario scenario.Scenario
	// Load selects where to send the requests; its Seed determines them.
	Load load.Options
}

// Run sends the scenario's requests, injects its faults, and returns the result and the load report. It
// blocks until every request has an outcome.
func Run(ctx context.Context, options Options) (experiment.Run, load.Report, error) {
	if err := validateFaults(options.Scenario); err != nil {
		return experiment.Run{}, load.Report{}, trace.Wrap(err)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	start := time.Now()
	engineWatcher := newWatcher(options.Fleet.StandIns.Engines, options.Scenario, start)
	watchContext, stopWatching := context.WithCancel(ctx)
	watcherDone := make(chan struct{})
	go func() {
		defer close(watcherDone)
		engineWatcher.run(watchContext)
	}()
	scheduleFaults(ctx, options.Fleet.StandIns, options.Scenario, start)
	report, results, err := load.RunScenario(ctx, options.Load, options.Scenario)
	stopWatching()
	<-watcherDone
	if err != nil {
		return experiment.Run{}, report, trace.Wrap(err)
	}
	return record(options.Scenario, options.Load.Seed, engineWatcher, results), report, nil
}
