// Package operatorcommand implements the command line of hazelctl: its subcommands, flags, output and
// exit codes. cmd/hazelctl only calls Run.
package operatorcommand

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/hazelpitch/hazelpitch/internal/operatorclient"
)

// Exit codes of hazelctl.
const (
	ExitDone        = 0 // done, or nothing to change
	ExitRefused     = 1 // refused, invalid or failed
	ExitUsage       = 2 // bad flags; no request was sent
	ExitUnreachable = 3 // no controller answered; it is unknown whether the request took effect
)

const longDescription = `Declares, asks and orders in a hazelpitch fleet.

Exit codes:
  0  done, or already in force
  1  refused, invalid or failed
  2  bad flags; nothing was asked
  3  no controller answered; whether the request took effect is not
     known: run the same command again`

// Environment is what the process provides to the command.
type Environment struct {
	// Program is the name that help and errors show.
	Program string
	Stdin   io.Reader
	Stdout  io.Writer
	Stderr  io.Writer
	// Interactive is set when a person can answer a question on Stdin.
	Interactive bool
	// Now returns the current time, for the validity of certificates.
	Now func() time.Time
}

// subcommand is one subcommand with its parsed flags.
type subcommand interface {
	run(ctx context.Context, environment Environment) error
}

// usageError is a mistake in the use of the command line.
type usageError struct{ message string }

// Error returns the mistake and what to do instead.
func (e *usageError) Error() string { return e.message }

func newUsageError(format string, arguments ...any) error {
	return &usageError{message: fmt.Sprintf(format, arguments...)}
}

// Run parses the arguments (without the program's name), runs the subcommand and returns the exit code.
func Run(ctx context.Context, arguments []string, environment Environment) int {
	global := &globalFlags{}
	parser := flags.NewNamedParser(environment.Program, flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = longDescription
	if _, err := parser.AddGroup("Controllers", "", global); err != nil {
		return reportResult(err, environment)
	}
	subcommands, err := addCommands(parser, global)
	if err != nil {
		return reportResult(err, environment)
	}
	rest, err := parser.ParseArgs(arguments)
	if err == nil && len(rest) > 0 {
		err = newUsageError("unexpected argument %q", rest[0])
	}
	if err != nil {
		return reportResult(err, environment)
	}
	active := parser.Active
	for active.Active != nil {
		active = active.Active
	}
	return reportResult(subcommands[active].run(ctx, environment), environment)
}

// reportResult prints help to standard output or a failure to standard error, and returns the exit code.
func reportResult(err error, environment Environment) int {
	var flagsError *flags.Error
	var mistake *usageError
	var unreachable *operatorclient.UnreachableError
	switch {
	case err == nil:
		return ExitDone
	case errors.As(err, &flagsError) && flagsError.Type == flags.ErrHelp:
		fmt.Fprintln(environment.Stdout, flagsError.Message)
		return ExitDone
	case errors.As(err, &flagsError):
		fmt.Fprintf(environment.Stderr, "%s: %v; see %s --help\n", environment.Program, flagsError.Message, environment.Program)
		return ExitUsage
	case errors.As(err, &mistake):
		fmt.Fprintf(environment.Stderr, "%s: %s; see %s --help\n", environment.Program, mistake.message, environment.Program)
		return ExitUsage
	case errors.As(err, &unreachable):
		fmt.Fprintf(environment.Stderr, "%s: %v\n", environment.Program, unreachable)
		return ExitUnreachable
	default:
		fmt.Fprintf(environment.Stderr, "%s: %s\n", environment.Program, userMessage(err))
		return ExitRefused
	}
}
