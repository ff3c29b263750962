package benchcommand

import (
	"context"
	"io"
	"slices"
	"strings"

	"github.com/gravitational/trace"

	"github.com/hazelpitch/hazelpitch/internal/measure"
)

// measureFlags are the flags of `hazelbench measure`.
type measureFlags struct{}

func measureCommand() command {
	return command{
		name:  "measure",
		short: "measure the request path's decisions: " + strings.Join(measurementNames(), ", "),
		long: "Measures decisions of the request path and prints a table for each subject named; without names, for all: " +
			"routing against random, naive and clairvoyant choices, decision time against the fleet's size, a neighbour's " +
			"goodput beside a flooding tenant, which kinds are shed under overload, and the cost of claims.",
		runner: new(measureFlags),
	}
}

// measurement is one subject of `hazelbench measure`: its name on the command line and the function that measures it.
type measurement struct {
	name string
	run  func(io.Writer) error
}

func measurements() []measurement {
	return []measurement{
		{"routing", measure.Routing},
		{"decisions", measure.Decisions},
		{"isolation", measure.Isolation},
		{"shedding", measure.Shedding},
		{"claims", measure.Claims},
	}
}

func measurementNames() []string {
	var names []string
	for _, subject := range measurements() {
		names = append(names, subject.name)
	}
	return names
}

func (m *measureFlags) run(_ context.Context, environment Environment, wanted []string) error {
	for _, name := range wanted {
		if !slices.Contains(measurementNames(), name) {
			return &usageError{cause: trace.BadParameter("%q is not a measurement; choose from %s", name, strings.Join(measurementNames(), ", "))}
		}
	}
	for _, subject := range measurements() {
		if len(wanted) > 0 && !slices.Contains(wanted, subject.name) {
			continue
		}
		if err := subject.run(environment.Stdout); err != nil {
			return trace.Wrap(err, "measuring %s", subject.name)
		}
	}
	return nil
}
