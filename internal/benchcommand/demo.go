package benchcommand

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/gravitational/trace"

	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
	"github.com/hazelpitch/hazelpitch/internal/fleet"
	"github.com/hazelpitch/hazelpitch/internal/load"
	"github.com/hazelpitch/hazelpitch/internal/standin/engine"
)

const (
	// roleChangeAfter is the time from the start of the load to the role change.
	roleChangeAfter = 4 * time.Second
	// roleChangeTimeout bounds the role change, which first drains the engine.
	roleChangeTimeout = 40 * time.Second
	// statePollInterval is the time between two checks of the engine's state.
	statePollInterval = 20 * time.Millisecond
)

// demoFlags are the flags of `hazelbench demo`.
type demoFlags struct {
	Deployment string        `long:"deployment" value-name:"DIR" default:"deploy/rawabi" description:"directory with fleet.yaml, load.yaml, settings and declarations"`
	Duration   time.Duration `long:"duration" default:"20s" description:"how long the load runs"`
	Scale      float64       `long:"scale" default:"1" description:"multiplies every rate"`
	Directory  string        `long:"directory" value-name:"DIR" description:"where the run's settings, data and logs go; default: a temporary directory that is removed at the end"`
}

func demoCommand() command {
	return command{
		name:  "demo",
		short: "boot a deployment, send it real requests, change a role under load, print a summary",
		long: "Boots a deployment at its full size on a free loopback network, sends one request of each kind through a " +
			"gateway, streams one answer here, changes one engine's role under load, and prints what was measured. It " +
			"fails when anything was cut, lost, mixed or run twice.",
		runner: new(demoFlags),
	}
}

func (d *demoFlags) run(ctx context.Context, environment Environment, rest []string) error {
	if err := rejectArguments(rest); err != nil {
		return err
	}
	directory, remove, err := prepareDirectory(d.Directory)
	if err != nil {
		return trace.Wrap(err)
	}
	defer remove()
	out := environment.Stdout
	started, err := fleet.Start(fleet.Options{Deployment: d.Deployment, Directory: directory, Serve: serveArguments})
	if err != nil {
		return trace.Wrap(err)
	}
	defer started.Close()
	fmt.Fprintf(out, "%s on %s: %d controllers, %d gateways, %d engines, %d page services in %d zones\n",
		started.Description.Name, started.Description.Network, len(started.ProcessesOf(fleet.RoleController)), len(started.ProcessesOf(fleet.RoleGateway)),
		len(started.StandIns.Engines), len(started.StandIns.Pages), len(started.Description.Zones))
	if err := boot(ctx, started, true, out); err != nil {
		return trace.Wrap(err)
	}
	options := loadOptions(d.Deployment, started.Description, started.Addresses(fleet.RoleGateway))
	options.Length, options.Scale, options.Seed = d.Duration, d.Scale, 1
	if err := d.probe(options, out); err != nil {
		return trace.Wrap(err)
	}
	report, err := d.changeRoleUnderLoad(ctx, started, options, out)
	if err != nil {
		return trace.Wrap(err)
	}
	report.Write(out)
	return report.Failed()
}

// probe sends one request of each kind and prints the results, and then prints one more answer as it streams.
func (d *demoFlags) probe(options load.Options, out io.Writer) error {
	results, err := load.Probe(options)
	if err != nil {
		return trace.Wrap(err)
	}
	for _, result := range results {
		fmt.Fprintf(out, "  %-22s %s, %s, %.1f ms, %d tokens %s\n", result.Kind, result.Outcome, result.Verdict,
			float64(result.Total.Microseconds())/1000, result.Tokens, result.Detail)
		if result.Outcome != load.Completed {
			return trace.Errorf("the first %s was not completed: %d %s %s", result.Kind, result.Status, result.Code, result.Detail)
		}
	}
	fmt.Fprint(out, "one answer as it streams:")
	result, err := load.StreamOne(options, out)
	if err != nil {
		return trace.Wrap(err)
	}
	if result.Outcome != load.Completed {
		return trace.Errorf("the streamed answer was not completed: %d %s %s", result.Status, result.Code, result.Detail)
	}
	return nil
}

// changeRoleUnderLoad runs the load and changes one engine's role while it runs.
func (d *demoFlags) changeRoleUnderLoad(ctx context.Context, started *fleet.Fleet, options load.Options, out io.Writer) (load.Report, error) {
	fmt.Fprintf(out, "load for %v:\n", d.Duration)
	roleChanged := make(chan error, 1)
	go func() {
		time.Sleep(min(roleChangeAfter, d.Duration/2))
		roleChanged <- changeRole(ctx, started, out)
	}()
	report, err := load.Run(ctx, options)
	changeErr := <-roleChanged
	if err != nil {
		return report, trace.Wrap(err)
	}
	if changeErr != nil {
		report.Write(out)
		return report, trace.Wrap(changeErr)
	}
	report.Engines.RoleChanges = started.StandIns.Totals().RoleChanges
	return report, nil
}

// changeRole orders the busiest mixed engine to role decode and waits until it serves in that role.
func changeRole(ctx context.Context, started *fleet.Fleet, out io.Writer) error {
	ctx, cancel := context.WithTimeout(ctx, roleChangeTimeout)
	defer cancel()
	chosen, inFlight := busiestEngine(started.StandIns.Engines, enginecontract.RoleMixed)
	if chosen == nil {
		return trace.NotFound("no running engine has the role mixed")
	}
	start := time.Now()
	answer, err := started.Operator().Execute(ctx, fmt.Sprintf("set role of engine %s to %s", chosen.Name(), enginecontract.RoleDecode))
	if err != nil {
		return trace.Wrap(err, "ordering the role change")
	}
	fmt.Fprintf(out, "  role change of %s to decode with %d in flight: %s\n", chosen.Name(), inFlight, answer.GetMessage())
	for {
		state, running := chosen.State()
		if running && state.Role == enginecontract.RoleDecode && state.State == enginecontract.StateServing {
			fmt.Fprintf(out, "  role changed after %.1f s\n", time.Since(start).Seconds())
			return nil
		}
		select {
		case <-ctx.Done():
			return trace.Errorf("role change timed out: %s still has role %s and state %s (order %s)", chosen.Name(), state.Role, state.State, state.OrderPhase)
		case <-time.After(statePollInterval):
		}
	}
}

// busiestEngine returns the running engine of a role with the most requests in flight, and their number.
func busiestEngine(engines []*engine.Engine, role enginecontract.Role) (*engine.Engine, int) {
	var busiest *engine.Engine
	most := -1
	for _, candidate := range engines {
		state, running := candidate.State()
		if running && state.Role == role && state.InFlight > most {
			busiest, most = candidate, state.InFlight
		}
	}
	return busiest, most
}
