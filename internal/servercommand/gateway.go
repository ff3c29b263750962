package servercommand

import (
	"context"
	"fmt"

	"github.com/hazelpitch/hazelpitch/internal/gateway"
	"github.com/hazelpitch/hazelpitch/internal/logring"
	"github.com/hazelpitch/hazelpitch/internal/settings"
)

// gatewayFlags are the flags of the gateway subcommand.
type gatewayFlags struct{ commonFlags }

func (g *gatewayFlags) run(ctx context.Context, environment Environment) error {
	source, err := g.source()
	if err != nil {
		return err
	}
	loaded, err := settings.LoadGateway(source)
	if err != nil {
		return &settingsError{cause: err}
	}
	if g.Check {
		fmt.Fprintf(environment.Stdout, "%s: the settings of gateway %s are valid\n", g.Settings, loaded.Name)
		return nil
	}
	return withLog(ctx, environment, loaded.Name, loaded.Log, func(ctx context.Context, log *logring.Log) error {
		go warnOnReload(ctx, log, environment.Signals.Reloads())
		return gateway.Run(ctx, loaded, gateway.Options{Listen: environment.Listen, Log: log})
	})
}
