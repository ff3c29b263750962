package benchcommand

import (
	"context"
	"fmt"
	"slices"

	"github.com/gravitational/trace"

	"github.com/hazelpitch/hazelpitch/internal/fleet"
	"github.com/hazelpitch/hazelpitch/internal/gatewaycost"
)

// callerHostNumber is the last number of the source address of the measuring callers.
const callerHostNumber = 200

// gatewayCostFlags are the flags of `hazelbench gateway-cost`.
type gatewayCostFlags struct {
	Deployment   string `long:"deployment" value-name:"DIR" default:"deploy/rawabi" description:"directory with fleet.yaml, load.yaml, settings and declarations"`
	Directory    string `long:"directory" value-name:"DIR" description:"where the run's settings, data and logs go; default: a temporary directory that is removed at the end"`
	PageRequests int    `long:"page-requests" default:"1000" description:"plain requests, sent directly and through the gateway in turns"`
	Streams      int    `long:"streams" default:"200" description:"streams open at once"`
	Tokens       int    `long:"tokens" default:"300" description:"tokens of each stream"`
	JSON         bool   `long:"json" description:"print the report as JSON"`
}

func gatewayCostCommand() command {
	return command{
		name:  "gateway-cost",
		short: "measure the time and processor time that a gateway process adds, and the gap after a cut link",
		long: "Boots a deployment on a free loopback network and calls one gateway from its own zone, without load " +
			"beside it: plain requests directly and through the gateway, many streams at once, and the same streams " +
			"with each link to an engine cut once.",
		runner: new(gatewayCostFlags),
	}
}

func (g *gatewayCostFlags) run(ctx context.Context, environment Environment, rest []string) error {
	if err := rejectArguments(rest); err != nil {
		return err
	}
	if g.PageRequests < 1 || g.Streams < 1 || g.Tokens < 1 {
		return &usageError{cause: trace.BadParameter("--page-requests, --streams and --tokens must be above 0")}
	}
	started, stop, err := startFleet(ctx, g.Deployment, g.Directory, environment.Stderr)
	if err != nil {
		return trace.Wrap(err)
	}
	defer stop()
	options, err := g.options(started)
	if err != nil {
		return trace.Wrap(err)
	}
	report, err := gatewaycost.Run(ctx, options)
	if err != nil {
		return trace.Wrap(err)
	}
	return printReport(environment.Stdout, g.JSON, report)
}

// options selects the first gateway whose zone has a page service.
func (g *gatewayCostFlags) options(started *fleet.Fleet) (gatewaycost.Options, error) {
	description := started.Description
	for _, gateway := range started.ProcessesOf(fleet.RoleGateway) {
		page := slices.IndexFunc(description.Replicas(), func(replica fleet.Replica) bool {
			return replica.Type == fleet.TypePage && replica.Zone == gateway.Zone
		})
		zone := slices.IndexFunc(description.Zones, func(zone fleet.Zone) bool { return zone.Name == gateway.Zone })
		if page < 0 || zone < 0 {
			continue
		}
		return gatewaycost.Options{
			Fleet: started, Gateway: gateway, Page: description.Replicas()[page].Address, Key: description.Tenants[0].Key,
			Source:       fmt.Sprintf("%s.%d.%d", description.Network, description.Zones[zone].Subnet, callerHostNumber),
			PageRequests: g.PageRequests, Streams: g.Streams, Tokens: g.Tokens,
		}, nil
	}
	return gatewaycost.Options{}, trace.NotFound("no gateway has a page service in its zone")
}
