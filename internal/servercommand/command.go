// Package servercommand is the command line of the servers: the subcommands
// controller and gateway, their flags, signals and exit codes. cmd/hazelpitch runs
// it as it is; the bench runs the same code with a listener that injects latency.
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
	ExitStopped = 0 // stopped as asked, or the check passed
	ExitFailed  = 1 // the server could not go on
	ExitUsage   = 2 // bad flags or bad settings; nothing was started
	// ExitInterrupted is the end of a server that was interrupted again while it stopped, as shells know it.
	ExitInterrupted = 130
)

// Environment is what the process around a command decides.
type Environment struct {
	// Program is the name that help and errors show.
	Program string
	Stdout  io.Writer
	Stderr  io.Writer
	// Listen opens listeners; nil means net.Listen.
	Listen func(network, address string) (net.Listener, error)
	// ListenPacket opens a relay's datagram socket; nil means net.ListenPacket.
	ListenPacket func(network, address string) (net.PacketConn, error)
	// Dial opens a relay's outgoing connections; nil means the system's.
	Dial dialing.Dial
	// Site is how relays and their controllers speak with what is around them.
	Site Site
	// Signals are the process's, taken in its first line; nil takes them when the command runs.
	Signals *lifecycle.Signals
}

// subcommand is one server with its parsed flags.
type subcommand interface {
	// run checks the settings and, unless only a check was asked for, serves until
	// the context ends.
	run(ctx context.Context, environment Environment) error
}

// Run parses the arguments (without the program's name), runs the subcommand until
// the context ends or SIGINT or SIGTERM arrives, and returns the exit code. A stop goes on whatever
// signals follow, but for a second SIGINT: then Run returns though the server still stops.
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
	rest, err := parser.ParseArgs(arguments)
	if err != nil {
		return reportUsage(err, environment)
	}
	if len(rest) > 0 {
		fmt.Fprintf(environment.Stderr, "%s: unexpected argument %q; see %s --help\n", environment.Program, rest[0], environment.Program)
		return ExitUsage
	}
	return runUntilSignal(ctx, parser.Active.Name, servers[parser.Active.Name], environment)
}

// reportUsage prints help to standard output and mistakes to standard error.
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
	ended := make(chan error, 1)
	go func() { ended <- server.run(ctx, environment) }()
	select {
	case err := <-ended:
		return exitCode(err, name, environment)
	case <-environment.Signals.Interrupted():
		fmt.Fprintf(environment.Stderr, "%s %s: interrupted again: it ends before its stop is over\n", environment.Program, name)
		return ExitInterrupted
	}
}

// exitCode tells on standard error why a server failed.
func exitCode(err error, name string, environment Environment) int {
	if err == nil {
		return ExitStopped
	}
	fmt.Fprintf(environment.Stderr, "%s %s: %v\n", environment.Program, name, err)
	var settingsFault *settingsError
	if errors.As(err, &settingsFault) {
		return ExitUsage
	}
	return ExitFailed
}
