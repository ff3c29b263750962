package benchcommand

import (
	"context"
	"fmt"
	"time"

	"github.com/gravitational/trace"

	"github.com/hazelpitch/hazelpitch/internal/experiment"
	"github.com/hazelpitch/hazelpitch/internal/fleet"
	"github.com/hazelpitch/hazelpitch/internal/processrun"
	"github.com/hazelpitch/hazelpitch/internal/scenario"
)

// settleTime is the time without load after the fleet is ready, in which every gateway contacts every
// back end.
const settleTime = 3 * time.Second

// runScenario sends a scenario's requests to a fleet that was started for it, and prints the result. It
// fails when an answer did not belong to its request, a request ran twice or a verdict was false.
func runScenario(ctx context.Context, started *fleet.Fleet, definition scenario.Scenario, seed uint64, asJSON bool, environment Environment) error {
	select {
	case <-ctx.Done():
		return trace.Wrap(ctx.Err())
	case <-time.After(settleTime):
	}
	options := processrun.Options{
		Fleet: started, Scenario: definition,
		Load: loadOptions(started.Deployment, started.Description, started.Addresses(fleet.RoleGateway)),
	}
	options.Load.Seed = seed
	for _, gateway := range started.ProcessesOf(fleet.RoleGateway) {
		options.Load.Target.GatewayZones = append(options.Load.Target.GatewayZones, gateway.Zone)
	}
	run, report, err := processrun.Run(ctx, options)
	if err != nil {
		return trace.Wrap(err)
	}
	if asJSON {
		if err := writeRuns(environment, []*experiment.Run{&run}); err != nil {
			return trace.Wrap(err)
		}
	} else {
		experiment.WriteSummary(environment.Stdout, []*experiment.Run{&run})
	}
	report.Write(environment.Stderr)
	if report.Mixed > 0 || !report.Audit.Clean() {
		return trace.Wrap(report.Failed())
	}
	fmt.Fprintf(environment.Stderr, "%s ran on %d processes and %d engines\n", definition.Name, len(started.Processes), len(started.StandIns.Engines))
	return nil
}
