// Package benchcommand implements the command line of hazelbench. Each subcommand and its flags have
// their own file; commands.go lists them.
package benchcommand

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"
)

// Exit codes of hazelbench.
const (
	ExitDone   = 0 // success
	ExitFailed = 1 // the run failed, or a request was cut, lost or mixed
	ExitUsage  = 2 // bad flags or bad files; nothing was started
)

// Environment is what the process provides to the command.
type Environment struct {
	// Program is the name that help and errors show.
	Program string
	Stdout  io.Writer
	Stderr  io.Writer
}

// runner is a subcommand with its parsed flags.
type runner interface {
	// run executes the command until it is done or the context ends. rest contains the arguments that
	// are not flags.
	run(ctx context.Context, environment Environment, rest []string) error
}

// usageError is a mistake in flags or files: nothing was started.
type usageError struct{ cause error }

// Error returns the cause's text.
func (u *usageError) Error() string { return u.cause.Error() }

// Unwrap returns the cause.
func (u *usageError) Unwrap() error { return u.cause }

// Run parses the arguments (without the program's name), runs the subcommand until it is done or SIGINT or
// SIGTERM arrives, and returns the exit code.
func Run(ctx context.Context, arguments []string, environment Environment) int {
	if len(arguments) > 0 && arguments[0] == serveSubcommand {
		return serve(ctx, arguments[1:], environment)
	}
	if len(arguments) > 0 && arguments[0] == serveSiteSubcommand {
		return serveSite(ctx, arguments[1:], environment)
	}
	parser := flags.NewNamedParser(environment.Program, flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = "The project's own stand-ins, fleets, load, experiments and simulations."
	runners := make(map[string]runner)
	for _, entry := range commands() {
		if _, err := parser.AddCommand(entry.name, entry.short, entry.long, entry.runner); err != nil {
			fmt.Fprintln(environment.Stderr, err)
			return ExitFailed
		}
		runners[entry.name] = entry.runner
	}
	rest, err := parser.ParseArgs(arguments)
	if err != nil {
		return reportUsage(err, environment)
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	return reportError(runners[parser.Active.Name].run(ctx, environment, rest), parser.Active.Name, environment)
}

// reportUsage prints help to standard output or a mistake to standard error, and returns the exit code.
func reportUsage(err error, environment Environment) int {
	var flagsError *flags.Error
	if errors.As(err, &flagsError) && flagsError.Type == flags.ErrHelp {
		fmt.Fprintln(environment.Stdout, flagsError.Message)
		return ExitDone
	}
	fmt.Fprintf(environment.Stderr, "%s: %v; see %s --help\n", environment.Program, err, environment.Program)
	return ExitUsage
}

func reportError(err error, name string, environment Environment) int {
	if err == nil {
		return ExitDone
	}
	fmt.Fprintf(environment.Stderr, "%s %s: %v\n", environment.Program, name, err)
	var usage *usageError
	if errors.As(err, &usage) {
		return ExitUsage
	}
	return ExitFailed
}
