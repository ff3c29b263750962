package benchcommand

import (
	"context"
	"fmt"
	"os"
	"path/filepath"

	"github.com/hazelpitch/hazelpitch/internal/fleet"
	"github.com/hazelpitch/hazelpitch/internal/servercommand"
)

// serveName is the hidden subcommand that a fleet starts this program with:
// serve DESCRIPTION controller|gateway FLAGS. It runs the server's own code with
// listeners that are as slow as the description's zones are far.
const serveName = "serve"

// serveArguments are the arguments that a fleet starts a server with.
func serveArguments(role fleet.Role, settingsPath, descriptionPath string, more ...string) []string {
	return append([]string{serveName, descriptionPath, string(role), "--settings", settingsPath}, more...)
}

// serve runs one server until it ends, or until its standard input does: a fleet
// holds the other end, so that its servers end with it.
func serve(ctx context.Context, arguments []string, environment Environment) int {
	if len(arguments) < 2 {
		fmt.Fprintf(environment.Stderr, "%s serve: the fleet description and the server are missing; only fleets start this\n", environment.Program)
		return ExitUsage
	}
	description, err := fleet.LoadDescription(filepath.Dir(arguments[0]))
	if err != nil {
		fmt.Fprintln(environment.Stderr, err)
		return ExitUsage
	}
	topology := fleet.NewTopology(description)
	go func() {
		_ = fleet.ApplyCutCommands(os.Stdin, topology.Gate()) // it ends when the fleet does
		os.Exit(ExitFailed)
	}()
	defer topology.WaitUnsent()
	return servercommand.Run(ctx, arguments[1:], servercommand.Environment{
		Program: environment.Program + " " + serveName,
		Stdout:  environment.Stdout,
		Stderr:  environment.Stderr,
		Listen:  topology.Listen,
	})
}
