package benchcommand

import (
	"context"
	"time"

	"github.com/gravitational/trace"

	"github.com/hazelpitch/hazelpitch/internal/fleet"
	"github.com/hazelpitch/hazelpitch/internal/gatewayloss"
)

// gatewayLossFlags are the flags of `hazelbench gateway-loss`.
type gatewayLossFlags struct {
	Deployment string        `long:"deployment" value-name:"DIR" default:"deploy/rawabi" description:"directory with fleet.yaml, load.yaml, settings and declarations"`
	Directory  string        `long:"directory" value-name:"DIR" description:"where the run's settings, data and logs go; default: a temporary directory that is removed at the end"`
	Rounds     int           `long:"rounds" default:"3" description:"how often each fault is repeated"`
	Calm       time.Duration `long:"calm" default:"2s" description:"time between two faults"`
	PageTime   time.Duration `long:"page-time" default:"300ms" description:"how much longer page services take, so that faults meet registrations"`
	Scale      float64       `long:"scale" default:"1" description:"multiplies every rate of the load"`
	OnceScale  float64       `long:"once-scale" default:"10" description:"multiplies the rates of once-only kinds on top"`
	Seed       uint64        `long:"seed" default:"1" description:"draws the arrivals"`
	JSON       bool          `long:"json" description:"print the report as JSON"`
}

func gatewayLossCommand() command {
	return command{
		name:  "gateway-loss",
		short: "kill and stop gateways and kill engines of a real fleet under load, judge every answer",
		long: "Boots a deployment on a free loopback network and, under load, kills a gateway's process (SIGKILL), " +
			"crashes an engine and stops a gateway (SIGTERM), each while streams and registrations are in flight. Callers " +
			"send registrations without an answer again through another gateway. It fails when an answer was cut that " +
			"no killed gateway accounts for, when one was mixed or short, a verdict was false or a key ran twice.",
		runner: new(gatewayLossFlags),
	}
}

func (g *gatewayLossFlags) run(ctx context.Context, environment Environment, rest []string) error {
	if err := rejectArguments(rest); err != nil {
		return err
	}
	if g.Rounds < 1 || g.Scale <= 0 || g.OnceScale <= 0 || g.Calm < 0 || g.PageTime < 0 {
		return &usageError{cause: trace.BadParameter("--rounds, --scale and --once-scale must be above 0")}
	}
	started, stop, err := startFleet(ctx, g.Deployment, g.Directory, environment.Stderr)
	if err != nil {
		return trace.Wrap(err)
	}
	defer stop()
	options := loadOptions(g.Deployment, started.Description, started.Addresses(fleet.RoleGateway))
	options.Length, options.Scale, options.OnceScale, options.Seed, options.ResendUntilSettled = maximumLoadTime, g.Scale, g.OnceScale, g.Seed, true
	report, err := gatewayloss.Run(ctx, gatewayloss.Options{
		Fleet: started, Load: options, Rounds: g.Rounds, FaultInterval: g.Calm, PageDelay: g.PageTime, Progress: environment.Stderr,
	})
	if err != nil {
		return trace.Wrap(err)
	}
	if err := printReport(environment.Stdout, g.JSON, report); err != nil {
		return trace.Wrap(err)
	}
	return report.Failed()
}
