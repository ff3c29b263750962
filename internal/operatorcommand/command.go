// Package operatorcommand is the operators' command line: the subcommands of
// hazelctl, their flags, output and exit codes. cmd/hazelctl runs it as it is.
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
	ExitDone        = 0 // done, or already in force
	ExitRefused     = 1 // refused, invalid or failed
	ExitUsage       = 2 // bad flags; nothing was asked
	ExitUnreachable = 3 // no controller answered; whether the request took effect is not known
)

const longDescription = `Declares, asks and orders in a hazelpitch fleet.

Exit codes:
  0  done, or already in force
  1  refused, invalid or failed
  2  bad flags; nothing was asked
  3  no controller answered; whether the request took effect is not
     known: run the same command again`

// Environment is what the process around a command decides.
type Environment struct {
	// Program is the name that help and errors show.
	Program string
	Stdin   io.Reader
	Stdout  io.Writer
	Stderr  io.Writer
	// Interactive tells that a person can answer a question on Stdin.
	Interactive bool
	// Now is the clock that certificates are dated by.
	Now func() time.Time
}

// subcommand is one subcommand with its parsed flags.
type subcommand interface {
	run(ctx context.Context, environment Environment) error
}

// usageError marks a mistake in the use of the command line.
type usageError struct{ message string }

// Error gives the mistake and the cure.
func (e *usageError) Error() string { return e.message }

func usage(format string, arguments ...any) error {
	return &usageError{message: fmt.Sprintf(format, arguments...)}
}

// Run parses the arguments (without the program's name), runs the subcommand and
// returns the exit code.
func Run(ctx context.Context, arguments []string, environment Environment) int {
	global := &globalFlags{}
	parser := flags.NewNamedParser(environment.Program, flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = longDescription
	if _, err := parser.AddGroup("Controllers", "", global); err != nil {
		return report(err, environment)
	}
	subcommands, err := addCommands(parser, global)
	if err != nil {
		return report(err, environment)
	}
	rest, err := parser.ParseArgs(arguments)
	if err == nil && len(rest) > 0 {
		err = usage("unexpected argument %q", rest[0])
	}
	if err != nil {
		return report(err, environment)
	}
	active := parser.Active
	for active.Active != nil {
		active = active.Active
	}
	return report(subcommands[active].run(ctx, environment), environment)
}

// report prints help to standard output and failures to standard error.
func report(err error, environment Environment) int {
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
		fmt.Fprintf(environment.Stderr, "%s: %s\n", environment.Program, messageOf(err))
		return ExitRefused
	}
}
