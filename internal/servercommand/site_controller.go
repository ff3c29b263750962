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

// siteControllerFlags are the flags of the site-controller subcommand.
type siteControllerFlags struct{ siteFlags }

// orderLifetime bounds the time for which an order to an engine, or a duty call to the platform, may be in flight. It is
// added to the time for which a new leader waits before its first order (order_wait), so that the last order of the old
// leader and the first one of the new leader are at least order_wait apart.
const orderLifetime = 500 * time.Millisecond

// dutyRateShare is the fraction of the platform's rate limit for duty calls that a leader uses, because the last calls of
// its predecessor may still count against the limit.
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
	without, err := mechanism.Without(loaded.DisabledMechanisms)
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
		ReadListing:       environment.Site.listingReaderAt(loaded.ListingAddress),
		Without:           without,
		PriorPrefillShare: loaded.PrefillShare, OrderWait: loaded.OrderWait + orderLifetime, OrderLifetime: orderLifetime,
		OrderStage:     environment.Site.OrderStage,
		NamedServices:  environment.Site.NamedServices,
		DutyLifetime:   orderLifetime,
		DutyInterval:   time.Duration(float64(time.Second) / (loaded.DutyRate * dutyRateShare)),
		OperatorListen: loaded.OperatorListen,
		OperatorHandler: func(store controller.DocumentStore) http.Handler {
			return environment.Site.OperatorHandler(store, operatorPort)
		},
	}
	duties := environment.Site.Duties(loaded.Duties)
	if duties.Replicas {
		site.OnDemandShare = loaded.OnDemandShare
		site.ReadServices = environment.Site.ReadServices
		site.OrderReplicas = environment.Site.replicaOrdererAt(loaded.ListingAddress)
	}
	if duties.Usage {
		site.Usage = usage.Config{Window: loaded.UsageWindow, Due: loaded.UsageDeadline}
		site.ReportUsage = environment.Site.usageReporterAt(loaded.ListingAddress)
	}
	return withLog(ctx, environment, loaded.Name, loaded.Log, func(ctx context.Context, log *logring.Log) error {
		readSeeds := func() ([]string, error) {
			again, err := settings.LoadSiteController(source)
			return again.PeerSeeds(), err
		}
		go watchSettings(ctx, s.Settings, log, environment.Signals.Reloads(), sendReloaded(ctx, readSeeds, seeds))
		return restartOnDiskError(ctx, log, func() error {
			return controller.Run(ctx, loaded.Controller(siteFleet), controller.Options{Listen: environment.Listen, Site: site, Log: log})
		})
	})
}
