package servercommand

import (
	"context"
	"fmt"

	"github.com/hazelpitch/hazelpitch/internal/controller"
	"github.com/hazelpitch/hazelpitch/internal/logring"
	"github.com/hazelpitch/hazelpitch/internal/settings"
)

// controllerFlags are the flags of the controller subcommand.
type controllerFlags struct {
	commonFlags
	DataDirectory string `long:"data-directory" value-name:"DIR" description:"override data_directory"`
}

func (c *controllerFlags) run(ctx context.Context, environment Environment) error {
	source, err := c.source()
	if err != nil {
		return err
	}
	source.Overrides = appendOverride(source.Overrides, "--data-directory", "data_directory", c.DataDirectory)
	loaded, err := settings.LoadController(source)
	if err != nil {
		return &settingsError{cause: err}
	}
	if c.Check {
		fmt.Fprintf(environment.Stdout, "%s: the settings of controller %s are valid\n", c.Settings, loaded.Name)
		return nil
	}
	return withLog(ctx, environment, loaded.Name, loaded.Log, func(ctx context.Context, log *logring.Log) error {
		go warnOnReload(ctx, log, environment.Signals.Reloads())
		return controller.Run(ctx, loaded, controller.Options{Listen: environment.Listen, Log: log})
	})
}
