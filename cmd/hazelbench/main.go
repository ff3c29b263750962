// Command hazelbench is the project's test tool. It runs stand-ins of the external systems, fleets on
// loopback addresses, load, experiments and simulations.
package main

import (
	"context"
	"os"

	"github.com/hazelpitch/hazelpitch/internal/benchcommand"
)

func main() {
	os.Exit(benchcommand.Run(context.Background(), os.Args[1:], benchcommand.Environment{
		Program: "hazelbench",
		Stdout:  os.Stdout,
		Stderr:  os.Stderr,
	}))
}
