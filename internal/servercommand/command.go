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
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"

	"github.com/hazelpitch/hazelpitch/internal/dialing"
)

// Exit codes of the servers.
const (
	ExitStopped = 0 // stopped as asked, or the check passed
	ExitFailed  = 1 // the server could not go on
	ExitUsage   = 2 // bad flags or bad settings; nothing was started
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
}

// subcommand is one server with its parsed flags.
type subcommand interface {
	// run checks the settings and, unless only a check was asked for, serves until
	// the context ends.
	run(ctx context.Context, environment Environment) error
}

// Run parses the arguments (without the program's name), runs the subcommand until
// the context ends or SIGINT or SIGTERM arrives, and returns the exit code. A second
// signal ends the process at once.
func Run(ctx context.Context, arguments []string, environment Environment) int {
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
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	// After the first signal the default handling is back, so that a second one ends the process.
	defer context.AfterFunc(ctx, stop)()
	err := server.run(ctx, environment)
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
