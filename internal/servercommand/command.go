// Package servercommand is the command line of the servers: the subcommands
// controller, gateway, site-controller and relay, their flags, signals and exit codes. cmd/hazelpitch runs
// it unchanged; hazelbench runs the same code with a listener that injects latency.
package servercommand

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"

	"github.com/jessevdk/go-flags"

	"github.com/hazelpitch/hazelpitch/internal/dialing"
	"github.com/hazelpitch/hazelpitch/internal/lifecycle"
)

// Exit codes of the servers.
const (
	ExitStopped = 0 // stopped on request, or the settings check passed
	ExitFailed  = 1 // the server failed
	ExitUsage   = 2 // invalid flags or settings; nothing was started
	// ExitInterrupted is the exit code of a server that was interrupted again while it stopped: 128 plus SIGINT.
	ExitInterrupted = 130
)

// Environment is what the process provides to a command.
type Environment struct {
	// Program is the program name shown in help and errors.
	Program string
	Stdout  io.Writer
	Stderr  io.Writer
	// Listen opens listeners; nil means the server's default.
	Listen func(network, address string) (net.Listener, error)
	// ListenPacket opens a relay's datagram socket; nil means net.ListenPacket.
	ListenPacket func(network, address string) (net.PacketConn, error)
	// Dial and DialControllers open a relay's outgoing connections; nil means the default dialers.
	Dial, DialControllers dialing.Dial
	// Site connects relays and their controllers with clients, back ends, operators and the platform.
	Site Site
	// Signals are the signals of the process, handled since it started; nil means that Run handles them.
	Signals *lifecycle.Signals
}

// subcommand is one server with its parsed flags.
type subcommand interface {
	// run checks the settings and, unless only a check was requested, serves until
	// the context ends.
	run(ctx context.Context, environment Environment) error
}

// Run parses the arguments (without the program name), runs the subcommand until
// the context ends or SIGINT or SIGTERM arrives, and returns the exit code. Further signals do not cut a stop short,
// except for a second SIGINT: then Run returns while the server still stops.
func Run(ctx context.Context, arguments []string, environment Environment) int {
	if environment.Signals == nil {
		environment.Signals = lifecycle.HandleSignals()
	}
	parser := flags.NewNamedParser(environment.Program, flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = "The servers of a hazelpitch fleet. Each reads one settings file; flags override it."
	servers := map[string]subcommand{
		"controller": new(controllerFlags), "gateway": new(gatewayFlags),
		"site-controller": new(siteControllerFlags), "relay": new(relayFlags),
	}
	for _, entry := range []struct{ name, description string }{
		{"controller", "run a controller: replicated state and authority over engines"},
		{"gateway", "run a gateway: routes callers' requests to engines and page services"},
		{"site-controller", "run a controller of relays: replicated configuration documents and the list of back ends"},
		{"relay", "run a relay: passes opaque requests of clients to back ends by the operator's routes"},
	} {
		if _, err := parser.AddCommand(entry.name, entry.description, "", servers[entry.name]); err != nil {
			fmt.Fprintln(environment.Stderr, err)
			return ExitFailed
		}
	}
	extra, err := parser.ParseArgs(arguments)
	if err != nil {
		return reportUsage(err, environment)
	}
	if len(extra) > 0 {
		fmt.Fprintf(environment.Stderr, "%s: unexpected argument %q; see %s --help\n", environment.Program, extra[0], environment.Program)
		return ExitUsage
	}
	return runUntilSignal(ctx, parser.Active.Name, servers[parser.Active.Name], environment)
}

// reportUsage prints help to standard output and usage errors to standard error.
func reportUsage(err error, environment Environment) int {
	var flagsError *flags.Error
	if errors.As(err, &flagsError) && flagsError.Type == flags.ErrHelp {
		fmt.Fprintln(environment.Stdout, flagsError.Message)
		return ExitStopped
	}
	fmt.Fprintf(environment.Stderr, "%s: %v; see %s --help\n", environment.Program, err, environment.Program)
	return ExitUsage
}

func runUntilSignal(ctx context.Context, name string, server subcommand, environment Environment) int {
	ctx, cancel := environment.Signals.WithStop(ctx)
	defer cancel()
	result := make(chan error, 1)
	go func() { result <- server.run(ctx, environment) }()
	select {
	case err := <-result:
		return exitCode(err, name, environment)
	case <-environment.Signals.Interrupted():
		fmt.Fprintf(environment.Stderr, "%s %s: interrupted again: exiting before the stop has finished\n", environment.Program, name)
		return ExitInterrupted
	}
}

// exitCode returns the exit code for the result of a server and prints an error to standard error.
func exitCode(err error, name string, environment Environment) int {
	if err == nil {
		return ExitStopped
	}
	fmt.Fprintf(environment.Stderr, "%s %s: %v\n", environment.Program, name, err)
	var invalid *settingsError
	if errors.As(err, &invalid) {
		return ExitUsage
	}
	return ExitFailed
}
