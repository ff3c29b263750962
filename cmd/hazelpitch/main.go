// Command hazelpitch runs the servers of a fleet: controllers, gateways and relays.
package main

import (
	"context"
	"os"

	"github.com/hazelpitch/hazelpitch/internal/lifecycle"
	"github.com/hazelpitch/hazelpitch/internal/servercommand"
	"github.com/hazelpitch/hazelpitch/platform"
)

func main() {
	signals := lifecycle.HandleSignals() // first, so that no signal ends the server by its default action
	os.Exit(servercommand.Run(context.Background(), os.Args[1:], servercommand.Environment{
		Program: "hazelpitch",
		Stdout:  os.Stdout,
		Stderr:  os.Stderr,
		Site:    platform.Site(),
		Signals: signals,
	}))
}
