package benchcommand

import (
	"context"
	"time"

	"github.com/gravitational/trace"
	"github.com/schollz/progressbar/v3"

	"github.com/hazelpitch/hazelpitch/internal/fleet"
	"github.com/hazelpitch/hazelpitch/internal/load"
)

// loadFlags are the flags of `hazelbench load`.
type loadFlags struct {
	Deployment string        `long:"deployment" value-name:"DIR" default:"deploy/rawabi" description:"directory with fleet.yaml, load.yaml and declarations"`
	Network    string        `long:"network" value-name:"127.N" description:"first two numbers of the fleet's addresses; default: the deployment's own"`
	Duration   time.Duration `long:"duration" default:"60s" description:"how long requests arrive"`
	Scale      float64       `long:"scale" default:"1" description:"multiplies every rate"`
	Seed       uint64        `long:"seed" default:"1" description:"draws the arrivals"`
	Direct     bool          `long:"direct" description:"send to the stand-ins past the gateways, for comparison"`
	JSON       bool          `long:"json" description:"print the report as JSON"`
}

func loadCommand() command {
	return command{
		name:  "load",
		short: "send a deployment's traffic to a running fleet and check every answer",
		long: "Sends the traffic of load.yaml through the gateways of a running fleet, checks each answer to its last " +
			"byte, and reports goodput, latencies, refusals by verdict and role changes. It fails when a request was cut, " +
			"mixed, lost or run twice, or when a verdict was false.",
		runner: new(loadFlags),
	}
}

func (l *loadFlags) run(ctx context.Context, environment Environment, rest []string) error {
	if err := rejectArguments(rest); err != nil {
		return err
	}
	if l.Duration <= 0 || l.Scale <= 0 {
		return &usageError{cause: trace.BadParameter("--duration and --scale must be above 0")}
	}
	description, err := fleet.LoadDescription(l.Deployment)
	if err != nil {
		return &usageError{cause: err}
	}
	if l.Network != "" {
		description = description.OnNetwork(l.Network)
	}
	gateways, err := fleet.GatewayAddresses(l.Deployment, description)
	if err != nil {
		return &usageError{cause: err}
	}
	options := loadOptions(l.Deployment, description, gateways)
	options.Length, options.Scale, options.Seed = l.Duration, l.Scale, l.Seed
	if l.Direct {
		options.Target.Gateways = nil
	}
	bar := progressbar.NewOptions(-1, progressbar.OptionSetWriter(environment.Stderr), progressbar.OptionSetDescription("requests"), progressbar.OptionShowCount(), progressbar.OptionThrottle(200*time.Millisecond))
	options.OnProgress = func(done, all int) {
		bar.ChangeMax(max(done, all))
		_ = bar.Set(done) // a failure to draw the progress bar is harmless
	}
	report, err := load.Run(ctx, options)
	_ = bar.Finish()
	if err != nil {
		return trace.Wrap(err)
	}
	if err := printReport(environment.Stdout, l.JSON, report); err != nil {
		return trace.Wrap(err)
	}
	return report.Failed()
}

// loadOptions returns the options of a load run against a fleet.
func loadOptions(deployment string, description fleet.Description, gateways []string) load.Options {
	options := load.Options{
		Deployment: deployment,
		Target:     load.Target{Gateways: gateways, SourceAddress: description.ClientAddress()},
	}
	for _, tenant := range description.Tenants {
		options.Target.Keys = append(options.Target.Keys, tenant.Key)
	}
	for _, replica := range description.Replicas() {
		if replica.Type == fleet.TypeEngine {
			options.Engines = append(options.Engines, replica.Address)
		} else {
			options.Pages = append(options.Pages, replica.Address)
		}
	}
	options.Target.Engines, options.Target.Pages = options.Engines, options.Pages
	return options
}
