package benchcommand

import (
	"context"
	"time"

	"github.com/gravitational/trace"

	"github.com/hazelpitch/hazelpitch/internal/fleet"
	"github.com/hazelpitch/hazelpitch/internal/leaderloss"
)

// maximumLoadTime bounds the load during a run of `hazelbench leader-loss` or `gateway-loss`.
const maximumLoadTime = 15 * time.Minute

// leaderLossFlags are the flags of `hazelbench leader-loss`.
type leaderLossFlags struct {
	Deployment string        `long:"deployment" value-name:"DIR" default:"deploy/rawabi" description:"directory with fleet.yaml, load.yaml, settings and declarations"`
	Directory  string        `long:"directory" value-name:"DIR" description:"where the run's settings, data and logs go; default: a temporary directory that is removed at the end"`
	Rounds     int           `long:"rounds" default:"3" description:"how often each fault is repeated"`
	Missed     int           `long:"missed" default:"1000" description:"changes that a controller misses before its restart"`
	Pause      time.Duration `long:"pause" default:"4s" description:"how long a leader is stopped"`
	Orderers   int           `long:"orderers" default:"6" description:"engines whose roles are changed all the time"`
	Scale      float64       `long:"scale" default:"0.5" description:"multiplies every rate of the load"`
	Seed       uint64        `long:"seed" default:"1" description:"draws the arrivals"`
	JSON       bool          `long:"json" description:"print the report as JSON"`
}

func leaderLossCommand() command {
	return command{
		name:  "leader-loss",
		short: "lose leaders of a real fleet under load and role changes, check every condition, measure",
		long: "Boots a deployment on a free loopback network and, under load, configuration changes and role changes, " +
			"kills the leader (SIGKILL) and restarts it, pauses it past its lease (SIGSTOP), kills a second controller " +
			"right after the first came back, replaces a controller's disk, and restarts one that missed changes. It " +
			"fails when a condition broke: a request cut, mixed, lost, run twice or with a false verdict, conflicting " +
			"orders at an engine, configuration that reverted, an accepted change lost.",
		runner: new(leaderLossFlags),
	}
}

func (l *leaderLossFlags) run(ctx context.Context, environment Environment, rest []string) error {
	if err := rejectArguments(rest); err != nil {
		return err
	}
	if l.Rounds < 1 || l.Missed < 1 || l.Orderers < 1 || l.Pause <= 0 || l.Scale <= 0 {
		return &usageError{cause: trace.BadParameter("--rounds, --missed, --orderers, --pause and --scale must be above 0")}
	}
	started, stop, err := startFleet(ctx, l.Deployment, l.Directory, environment.Stderr)
	if err != nil {
		return trace.Wrap(err)
	}
	defer stop()
	options := loadOptions(l.Deployment, started.Description, started.Addresses(fleet.RoleGateway))
	options.Length, options.Scale, options.Seed = maximumLoadTime, l.Scale, l.Seed
	report, err := leaderloss.Run(ctx, leaderloss.Options{
		Fleet: started, Load: options, Rounds: l.Rounds, MissedChanges: l.Missed, LeaderPause: l.Pause, OrderedEngines: l.Orderers,
		Progress: environment.Stderr,
	})
	if err != nil {
		return trace.Wrap(err)
	}
	if err := printReport(environment.Stdout, l.JSON, report); err != nil {
		return trace.Wrap(err)
	}
	return report.Failed()
}
