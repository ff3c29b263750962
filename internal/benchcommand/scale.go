package benchcommand

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/gravitational/trace"

	"github.com/hazelpitch/hazelpitch/internal/scale"
)

// scaleMemberName is the hidden subcommand that a scale fleet starts this program with:
// scale-member SPEC.
const scaleMemberName = "scale-member"

// scaleFlags are the flags of `hazelbench scale`.
type scaleFlags struct {
	Nodes         int           `long:"nodes" default:"390" description:"hollow gateways"`
	Replicas      int           `long:"replicas" default:"930" description:"hollow engines"`
	Tenants       int           `long:"tenants" default:"33000" description:"declared tenants"`
	Models        int           `long:"models" default:"24" description:"models, each with a service of its own; fewer when an engine service would have less than 5 replicas"`
	Zones         int           `long:"zones" default:"10" description:"zones, taking turns over the regions"`
	Regions       int           `long:"regions" default:"3" description:"regions"`
	Controllers   int           `long:"controllers" default:"5" description:"controllers with a vote"`
	Standbys      int           `long:"standbys" default:"3" description:"controllers without a vote"`
	ZoneLatency   time.Duration `long:"zone-latency" default:"500us" description:"one way, between zones of a region"`
	RegionLatency time.Duration `long:"region-latency" default:"20ms" description:"one way, between regions"`
	Rate          float64       `long:"rate" default:"3000" description:"requests a second that the nodes decide on; no engine is called"`
	Claimed       float64       `long:"claimed" default:"0.01" description:"share of the requests that run at most once, under a claim"`
	Settle        time.Duration `long:"settle" default:"20s" description:"time between the start of the requests and the window"`
	Window        time.Duration `long:"window" default:"15s" description:"time over which everything is counted"`
	Burst         int           `long:"burst" default:"0" description:"changes submitted one after the other after the window"`
	Steady        int           `long:"steady" default:"0" description:"changes submitted with a pause between them after that"`
	SteadyPause   time.Duration `long:"steady-pause" default:"1s" description:"that pause; 2,300 a day are one every 37.6s"`
	Sweep         string        `long:"sweep" choice:"nodes" choice:"replicas" choice:"tenants" description:"measure several sizes of one dimension, the rest held small, and fit lines"`
	Inside        bool          `long:"inside" description:"run controllers and engines inside this process; processor time is not told apart"`
	Drill         string        `long:"drill" value-name:"NAME" description:"bring about a loss and measure what recovers and when: day, leader, rack, region, regions, restart, two-faults or zone; see docs/DRILLS.md"`
	Hold          time.Duration `long:"hold" default:"20s" description:"how long the loss of a drill lasts"`
	JSON          bool          `long:"json" description:"print JSON in place of tables"`
	Seed          uint64        `long:"seed" default:"1" description:"seed of the requests"`
	Directory     string        `long:"directory" value-name:"DIR" description:"where data and logs go; default: a temporary directory that is removed at the end"`
}

func scaleCommand() command {
	return command{
		name:  "scale",
		short: "run control at the target size with hollow gateways and engines, and count what it costs",
		long: "Starts real controllers as processes, hollow gateways that run the product's control code in this process, and " +
			"hollow engines in another, with latencies between zones and regions. It counts state, messages, bytes and " +
			"processor time by role and duty. docs/CAPACITY.md has the figures and what they say.",
		runner: new(scaleFlags),
	}
}

func (s *scaleFlags) plan() scale.Plan {
	return scale.Plan{
		Nodes: s.Nodes, Replicas: s.Replicas, Tenants: s.Tenants, Models: s.Models, Zones: s.Zones, Regions: s.Regions,
		Controllers: s.Controllers, Standbys: s.Standbys, ZoneLatency: s.ZoneLatency, RegionLatency: s.RegionLatency, Seed: s.Seed,
	}
}

func (s *scaleFlags) run(ctx context.Context, environment Environment, rest []string) error {
	if err := noArguments(rest); err != nil {
		return err
	}
	plan := s.plan()
	if err := plan.Check(); err != nil {
		return &usageError{cause: err}
	}
	directory, remove, err := runDirectory(s.Directory)
	if err != nil {
		return trace.Wrap(err)
	}
	defer remove()
	options := scale.RunOptions{
		Options: scale.Options{Plan: plan, Directory: directory, Arguments: memberArguments},
		Traffic: scale.TrafficOptions{RequestsPerSecond: s.Rate, ClaimedShare: s.Claimed},
		Settle:  s.Settle, Window: s.Window, Burst: s.Burst, Steady: s.Steady, SteadyPause: s.SteadyPause,
		Progress: environment.Stderr,
	}
	if s.Inside {
		options.Arguments = nil
	}
	if s.Drill != "" {
		return s.drill(ctx, environment, options)
	}
	if s.Sweep != "" {
		return s.sweep(ctx, environment, options)
	}
	measured, err := scale.Run(ctx, options)
	if measured != nil { // a run that failed at its end has still counted
		if writeErr := printReport(environment.Stdout, s.JSON, measured); err == nil {
			err = writeErr
		}
	}
	return trace.Wrap(err)
}

func (s *scaleFlags) sweep(ctx context.Context, environment Environment, options scale.RunOptions) error {
	swept, err := scale.RunSweep(ctx, scale.Dimension(s.Sweep), options, s.Nodes, func() (string, func(), error) { return runDirectory("") })
	if err != nil {
		return trace.Wrap(err)
	}
	return printReport(environment.Stdout, s.JSON, swept)
}

func (s *scaleFlags) drill(ctx context.Context, environment Environment, options scale.RunOptions) error {
	drill, err := scale.FindDrill(s.Drill)
	if err != nil {
		return &usageError{cause: err}
	}
	report, err := scale.RunDrill(ctx, drill, scale.DrillOptions{
		Options: options.Options, Traffic: options.Traffic, Settle: s.Settle, Hold: s.Hold, Progress: options.Progress,
	})
	if err != nil {
		return trace.Wrap(err)
	}
	if err := printReport(environment.Stdout, s.JSON, report); err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(report.Failed())
}

func memberArguments(specPath string) []string { return []string{scaleMemberName, specPath} }

// scaleMember runs one member of a scale fleet until it is stopped or the fleet ends.
func scaleMember(ctx context.Context, arguments []string, environment Environment) int {
	if len(arguments) != 1 {
		fmt.Fprintf(environment.Stderr, "%s: the member's file is missing; only scale fleets start this\n", environment.Program)
		return ExitUsage
	}
	if err := scale.ServeMember(ctx, arguments[0], os.Stdin, environment.Stdout); err != nil {
		fmt.Fprintln(environment.Stderr, err)
		return ExitFailed
	}
	return ExitDone
}
