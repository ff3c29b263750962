package benchcommand

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/gravitational/trace"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/fleet"
	"github.com/hazelpitch/hazelpitch/internal/load"
	"github.com/hazelpitch/hazelpitch/internal/scenario"
)

// bootTimeout bounds the time from the start of a fleet until its gateways are ready.
const bootTimeout = 60 * time.Second

// fleetFlags are the flags of `hazelbench fleet`.
type fleetFlags struct {
	Deployment string `long:"deployment" value-name:"DIR" default:"deploy/rawabi" description:"directory with fleet.yaml, settings and declarations"`
	Network    string `long:"network" value-name:"127.N" description:"first two numbers of the addresses; default: the deployment's own; free takes any that is free"`
	Directory  string `long:"directory" value-name:"DIR" description:"where the run's settings, data and logs go; default: a temporary directory that is removed at the end"`
	NoApply    bool   `long:"no-apply" description:"leave the declarations to the operator"`
	Scenario   string `long:"scenario" value-name:"FILE" description:"take engines and latencies from a scenario, send its requests, print the result and end"`
	Seed       uint64 `long:"seed" default:"1" description:"draws the scenario's requests"`
	JSON       bool   `long:"json" description:"print the scenario's result as hazelbench experiment does"`
}

// freeNetwork is the value of --network that selects any free network.
const freeNetwork = "free"

func fleetCommand() command {
	return command{
		name:  "fleet",
		short: "run a whole deployment on loopback addresses until interrupted",
		long: "Starts the outside systems as stand-ins in this process, controllers and gateways as processes of " +
			"their own, with the latencies between the zones, and applies the declarations. See docs/BENCH.md.",
		runner: new(fleetFlags),
	}
}

func (f *fleetFlags) run(ctx context.Context, environment Environment, rest []string) error {
	if err := rejectArguments(rest); err != nil {
		return err
	}
	directory, remove, err := prepareDirectory(f.Directory)
	if err != nil {
		return trace.Wrap(err)
	}
	defer remove()
	options, err := f.options(directory)
	if err != nil {
		return &usageError{cause: err}
	}
	started, err := fleet.Start(options)
	if err != nil {
		return trace.Wrap(err)
	}
	defer started.Close()
	if err := boot(ctx, started, !f.NoApply, environment.Stderr); err != nil {
		return trace.Wrap(err)
	}
	if err := started.InjectFaults(ctx, environment.Stderr); err != nil {
		return trace.Wrap(err)
	}
	if options.Scenario != nil {
		return runScenario(ctx, started, *options.Scenario, f.Seed, f.JSON, environment)
	}
	printAddresses(started, environment.Stdout)
	<-ctx.Done()
	return nil
}

// options returns the options of the fleet's start; an error is a mistake in the files.
func (f *fleetFlags) options(directory string) (fleet.Options, error) {
	options := fleet.Options{Deployment: f.Deployment, Directory: directory, Network: f.Network, Serve: serveArguments}
	if f.Scenario != "" {
		read, err := scenario.Load(f.Scenario)
		if err != nil {
			return options, trace.Wrap(err)
		}
		options.Scenario = &read
	}
	switch f.Network {
	case freeNetwork:
		options.Network = ""
	case "":
		description, err := fleet.LoadDescription(f.Deployment)
		if err != nil {
			return options, trace.Wrap(err)
		}
		options.Network = description.Network
	}
	return options, nil
}

// rejectArguments returns a usage error for arguments that are not flags.
func rejectArguments(rest []string) error {
	if len(rest) > 0 {
		return &usageError{cause: trace.BadParameter("unexpected argument %q", rest[0])}
	}
	return nil
}

// prepareDirectory returns the directory of a run and a function that removes it if it is temporary.
func prepareDirectory(wanted string) (string, func(), error) {
	if wanted != "" {
		return wanted, func() {}, trace.ConvertSystemError(os.MkdirAll(wanted, 0o755))
	}
	directory, err := os.MkdirTemp("", "hazelbench-")
	if err != nil {
		return "", nil, trace.ConvertSystemError(err)
	}
	return directory, func() { _ = os.RemoveAll(directory) }, nil // a failure only leaves a temporary directory
}

// boot waits for the controllers and, with apply, applies the declarations and waits for the gateways.
func boot(ctx context.Context, started *fleet.Fleet, apply bool, progress io.Writer) error {
	ctx, cancel := context.WithTimeout(ctx, bootTimeout)
	defer cancel()
	start := time.Now()
	if err := started.WaitReady(ctx, fleet.RoleController); err != nil {
		return trace.Wrap(err)
	}
	fmt.Fprintf(progress, "controllers ready after %.1f s\n", time.Since(start).Seconds())
	if !apply {
		return nil
	}
	files, err := load.Declarations(started.Deployment)
	if err != nil {
		return trace.Wrap(err)
	}
	answer, err := started.Operator().Apply(ctx, files)
	if err != nil {
		return trace.Wrap(err, "applying the declarations")
	}
	if answer.GetOutcome() != v1.ApplyOutcome_APPLY_OUTCOME_ACCEPTED && answer.GetOutcome() != v1.ApplyOutcome_APPLY_OUTCOME_UNCHANGED {
		return trace.Errorf("the declarations were not accepted: %s %s", answer.GetOutcome(), answer.GetDetail())
	}
	fmt.Fprintf(progress, "declarations in force as revision %d after %.1f s\n", answer.GetRevision(), time.Since(start).Seconds())
	if err := started.WaitReady(ctx, fleet.RoleGateway); err != nil {
		return trace.Wrap(err)
	}
	fmt.Fprintf(progress, "gateways ready after %.1f s\n", time.Since(start).Seconds())
	return nil
}

// printAddresses prints the addresses of all processes and stand-ins.
func printAddresses(started *fleet.Fleet, out io.Writer) {
	for _, process := range started.Processes {
		fmt.Fprintf(out, "%-10s %-28s %s  admin %s  log %s\n", process.Role, process.Name, process.Listen, process.AdminListen, process.LogPath)
	}
	for _, engine := range started.StandIns.Engines {
		fmt.Fprintf(out, "%-10s %-28s %s\n", "engine", engine.Name(), engine.Address())
	}
	for _, page := range started.StandIns.Pages {
		fmt.Fprintf(out, "%-10s %-28s %s\n", "page", page.Name(), page.Address())
	}
	fmt.Fprintf(out, "machine list %s, weight store %s\n", started.StandIns.Machines.Address(), started.StandIns.WeightStore.Address())
}
