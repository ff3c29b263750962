package benchcommand

import (
	"context"
	"fmt"
	"io"
	"runtime"
	"strconv"
	"strings"

	"github.com/gravitational/trace"

	"github.com/hazelpitch/hazelpitch/internal/safeguard"
	"github.com/hazelpitch/hazelpitch/internal/simulation"
)

// shownTraceLines is the number of trace lines that are printed for a violation.
const shownTraceLines = 120

// simulateFlags are the flags of `hazelbench simulate`.
type simulateFlags struct {
	Seeds      string `long:"seeds" value-name:"A..B" default:"1..100" description:"seeds to run, both ends included; one number runs one seed"`
	Steps      int    `long:"steps" default:"20000" description:"events of each run until its faults end"`
	Deployment string `long:"deployment" value-name:"NAME" default:"small" description:"fleet to simulate: empleandes, five, rawabi, small or standby"`
	Workers    int    `long:"workers" description:"seeds run at once; default: GOMAXPROCS"`
	JSON       bool   `long:"json" description:"print the totals as JSON"`

	// safeguards is empty except in tests that provoke a violation.
	safeguards safeguard.Set
}

func simulateCommand() command {
	return command{
		name:  "simulate",
		short: "simulate controllers, gateways and engines with faults and check every promise after each step",
		long: "Runs the seeds, each in one thread with virtual time, and prints totals, the faults by kind and a hash of " +
			"all traces. Equal seeds and flags give equal hashes. The first seed that breaks a promise is printed with " +
			"the end of its trace, and the command fails.",
		runner: new(simulateFlags),
	}
}

func (s *simulateFlags) run(ctx context.Context, environment Environment, rest []string) error {
	if err := rejectArguments(rest); err != nil {
		return err
	}
	options, first, last, err := s.options()
	if err != nil {
		return &usageError{cause: err}
	}
	summary := newSimulationSummary(options, first, last)
	simulation.Sweep(options, first, last, s.workers(), func(result simulation.Result) bool {
		summary.add(result)
		return result.Violation == nil && ctx.Err() == nil
	})
	if err := summary.write(environment.Stdout, s.JSON); err != nil {
		return trace.Wrap(err)
	}
	if summary.firstFailure != nil {
		writeViolation(environment.Stderr, s, summary.firstFailure)
		return trace.Errorf("seed %d breaks a promise: %v", summary.firstFailure.Seed, summary.firstFailure.Violation)
	}
	return trace.Wrap(ctx.Err(), "interrupted after %d seeds", summary.Seeds)
}

// options checks the flags and converts them to the options of a run and the first and last seed.
func (s *simulateFlags) options() (options simulation.Options, first, last uint64, err error) {
	first, last, err = parseSeeds(s.Seeds)
	if err != nil {
		return options, 0, 0, err
	}
	if s.Steps <= 0 {
		return options, 0, 0, trace.BadParameter("--steps must be above 0")
	}
	if s.Workers < 0 {
		return options, 0, 0, trace.BadParameter("--workers must not be negative")
	}
	deployment, err := simulation.FindDeployment(s.Deployment)
	if err != nil {
		return options, 0, 0, trace.Wrap(err, "--deployment")
	}
	return simulation.Options{Steps: s.Steps, Deployment: deployment, Safeguards: s.safeguards}, first, last, nil
}

// workers returns the number of seeds to run at the same time.
func (s *simulateFlags) workers() int {
	if s.Workers > 0 {
		return s.Workers
	}
	return runtime.GOMAXPROCS(0)
}

// parseSeeds parses A..B or a single number.
func parseSeeds(text string) (first, last uint64, err error) {
	from, to, isRange := strings.Cut(text, "..")
	if !isRange {
		to = from
	}
	first, firstErr := strconv.ParseUint(from, 10, 64)
	last, lastErr := strconv.ParseUint(to, 10, 64)
	switch {
	case firstErr != nil || lastErr != nil:
		return 0, 0, trace.BadParameter("--seeds %q is not of the form A..B, such as 1..100", text)
	case last < first:
		return 0, 0, trace.BadParameter("--seeds %q ends before it begins", text)
	}
	return first, last, nil
}

// writeViolation prints the end of the failed seed's trace and how to run the seed again.
func writeViolation(out io.Writer, flags *simulateFlags, failed *simulation.Result) {
	lines := failed.Trace[max(0, len(failed.Trace)-shownTraceLines):]
	fmt.Fprintf(out, "the last %d lines of seed %d (seconds, who, what):\n", len(lines), failed.Seed)
	for _, line := range lines {
		fmt.Fprintln(out, line)
	}
	fmt.Fprintf(out, "trace hash of the seed %016x; run it again with --seeds %d --steps %d --deployment %s\n",
		failed.TraceHash, failed.Seed, flags.Steps, flags.Deployment)
}
