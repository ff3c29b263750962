package servercommand

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/gravitational/trace"

	"github.com/hazelpitch/hazelpitch/internal/controller"
	"github.com/hazelpitch/hazelpitch/internal/logring"
	"github.com/hazelpitch/hazelpitch/internal/mechanism"
	"github.com/hazelpitch/hazelpitch/internal/settings"
	"github.com/hazelpitch/hazelpitch/internal/usage"
)

// siteControllerFlags are the flags of the controller of a site.
type siteControllerFlags struct{ siteFlags }

// orderLife is how long an order to an engine may be under way; it is added to a new leader's
// wait, so that the orders of two leaders keep that wait between them.
const orderLife = 500 * time.Millisecond

// dutyRateShare is the part of the platform's rate of duty calls that a holder uses: its predecessor's
// last calls may still count.
const dutyRateShare = 0.5

func (s *siteControllerFlags) run(ctx context.Context, environment Environment) error {
	source, err := s.source()
	if err != nil {
		return err
	}
	loaded, err := settings.LoadSiteController(source)
	if err != nil {
		return &settingsError{cause: err}
	}
	without, err := mechanism.Without(loaded.Without)
	if err != nil {
		return &settingsError{cause: trace.Wrap(err, "%s: the key without", s.Settings)}
	}
	if s.Check {
		fmt.Fprintf(environment.Stdout, "%s: the settings of controller %s are valid\n", s.Settings, loaded.Name)
		return nil
	}
	limitMemory(loaded.MemoryLimit)
	_, operatorPort, _ := net.SplitHostPort(loaded.OperatorListen) // checked when the file was read
	seeds := make(chan []string)
	site := &controller.Site{
		ReloadedSeeds: seeds,
		Seeds:         loaded.PeerSeeds(), Bootstrap: loaded.Bootstrap, FormationSize: loaded.FormationSize(),
		ListingInterval:   loaded.ListingInterval,
		ReadListing:       environment.Site.listingAt(loaded.ListingAddress),
		Without:           without,
		PriorPrefillShare: loaded.PrefillShare, OrderWait: loaded.OrderWait + orderLife, OrderLifetime: orderLife,
		OrderStage:     environment.Site.OrderStage,
		NamedServices:  environment.Site.NamedServices,
		DutyLifetime:   orderLife,
		DutyInterval:   time.Duration(float64(time.Second) / (loaded.DutyRate * dutyRateShare)),
		OperatorListen: loaded.OperatorListen,
		OperatorHandler: func(store controller.DocumentStore) http.Handler {
			return environment.Site.OperatorHandler(store, operatorPort)
		},
	}
	duties := environment.Site.Duties(loaded.Duties)
	if duties.Replicas {
		site.OnDemandShare = loaded.OnDemandShare
		site.ReadConfiguration = environment.Site.ReadConfiguration
		site.OrderReplicas = environment.Site.orderingReplicasAt(loaded.ListingAddress)
	}
	if duties.Usage {
		site.Usage = usage.Config{Window: loaded.UsageWindow, Due: loaded.UsageDue}
		site.ReportUsage = environment.Site.reportingUsageAt(loaded.ListingAddress)
	}
	return withLog(ctx, environment, loaded.Name, loaded.Log, func(ctx context.Context, log *logring.Log) error {
		readSeeds := func() ([]string, error) {
			again, err := settings.LoadSiteController(source)
			return again.PeerSeeds(), err
		}
		go watchSettings(ctx, s.Settings, log, environment.Signals.Reloads(), reloading(ctx, readSeeds, seeds))
		return outliveDisk(ctx, log, func() error {
			return controller.Run(ctx, loaded.Controller(siteFleet), controller.Options{Listen: environment.Listen, Site: site, Log: log})
		})
	})
}
