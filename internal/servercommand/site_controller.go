package servercommand

import (
	"context"
	"fmt"
	"net"
	"net/http"

	"github.com/hazelpitch/hazelpitch/internal/controller"
	"github.com/hazelpitch/hazelpitch/internal/logring"
	"github.com/hazelpitch/hazelpitch/internal/settings"
)

// siteControllerFlags are the flags of the controller of a site.
type siteControllerFlags struct{ siteFlags }

func (s *siteControllerFlags) run(ctx context.Context, environment Environment) error {
	source, err := s.source()
	if err != nil {
		return err
	}
	loaded, err := settings.LoadSiteController(source)
	if err != nil {
		return &settingsError{cause: err}
	}
	if s.Check {
		fmt.Fprintf(environment.Stdout, "%s: the settings of controller %s are valid\n", s.Settings, loaded.Name)
		return nil
	}
	limitMemory(loaded.MemoryLimit)
	_, operatorPort, _ := net.SplitHostPort(loaded.OperatorListen) // checked when the file was read
	site := &controller.Site{
		Seeds: loaded.PeerSeeds(), Bootstrap: loaded.Bootstrap, FormationSize: loaded.FormationSize(),
		ListingInterval: loaded.ListingInterval,
		ReadListing:     environment.Site.listingAt(loaded.ListingAddress),
		OperatorListen:  loaded.OperatorListen,
		OperatorHandler: func(store controller.DocumentStore) http.Handler {
			return environment.Site.OperatorHandler(store, operatorPort)
		},
	}
	return withLog(ctx, loaded.Name, loaded.Log, func(ctx context.Context, log *logring.Log) error {
		return controller.Run(ctx, loaded.Controller(siteFleet), controller.Options{Listen: environment.Listen, Site: site, Log: log})
	})
}
