package benchcommand

import (
	"context"
	"fmt"
	"os"
	"path/filepath"

	"github.com/hazelpitch/hazelpitch/internal/fleet"
	"github.com/hazelpitch/hazelpitch/internal/servercommand"
)

// serveSubcommand is the hidden subcommand with which a fleet starts this program:
// serve DESCRIPTION controller|gateway FLAGS. It runs the server's own code with listeners that have the
// latencies between the description's zones.
const serveSubcommand = "serve"

// serveArguments returns the arguments with which a fleet starts a server.
func serveArguments(role fleet.Role, settingsPath, descriptionPath string, more ...string) []string {
	return append([]string{serveSubcommand, descriptionPath, string(role), "--settings", settingsPath}, more...)
}

// serve runs one server until it stops or its standard input is closed. The fleet holds the other end of
// the standard input, so its servers stop with it.
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
		_ = fleet.ApplyCutCommands(os.Stdin, fleet.CutTargets{Gate: topology.Gate()}) // returns when the fleet closes standard input
		os.Exit(ExitFailed)
	}()
	defer topology.WaitUnsent()
	return servercommand.Run(ctx, arguments[1:], servercommand.Environment{
		Program: environment.Program + " " + serveSubcommand,
		Stdout:  environment.Stdout,
		Stderr:  environment.Stderr,
		Listen:  topology.Listen,
	})
}
