package servercommand

import (
	"context"
	"fmt"

	"github.com/gravitational/trace"

	"github.com/hazelpitch/hazelpitch/internal/logring"
	"github.com/hazelpitch/hazelpitch/internal/mechanism"
	"github.com/hazelpitch/hazelpitch/internal/relay"
	"github.com/hazelpitch/hazelpitch/internal/settings"
)

// relayFlags are the flags of the relay subcommand.
type relayFlags struct{ siteFlags }

func (r *relayFlags) run(ctx context.Context, environment Environment) error {
	source, err := r.source()
	if err != nil {
		return err
	}
	loaded, err := settings.LoadRelay(source)
	if err != nil {
		return &settingsError{cause: err}
	}
	without, err := mechanism.Without(loaded.DisabledMechanisms)
	if err != nil {
		return &settingsError{cause: trace.Wrap(err, "%s: the key without", r.Settings)}
	}
	if r.Check {
		fmt.Fprintf(environment.Stdout, "%s: the settings of relay %s are valid\n", r.Settings, loaded.Name)
		return nil
	}
	limitMemory(loaded.MemoryLimit)
	reloaded := make(chan settings.Relay)
	return withLog(ctx, environment, loaded.Name, loaded.Log, func(ctx context.Context, log *logring.Log) error {
		read := func() (settings.Relay, error) { return settings.LoadRelay(source) }
		go watchSettings(ctx, r.Settings, log, environment.Signals.Reloads(), sendReloaded(ctx, read, reloaded))
		return relay.Run(ctx, loaded, relay.Options{
			Dialect: environment.Site.Dialect, ReadListing: environment.Site.listingReaderAt(loaded.ListingAddress),
			ReadCache: environment.Site.ReadCache, ProbeLoad: environment.Site.ProbeLoad, Features: environment.Site.RelayFeatures(loaded.Contracts),
			Listen: environment.Listen, ListenPacket: environment.ListenPacket, Dial: environment.Dial, DialControllers: environment.DialControllers, Reloaded: reloaded, Without: without, Log: log,
		})
	})
}
