package experiment

import (
	"cmp"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"

	"github.com/gravitational/trace"
)

// WriteBenchmarks writes the page with the results of a suite's runs: for each scenario and
// policy the goodput as a share of the clairvoyant bound, the role changes and the deadline
// misses, as the median over the seeds with minimum and maximum. isComplete is true if runs
// holds every run of the suite.
func WriteBenchmarks(path, commandLine string, isComplete bool, runs []*Run) error {
	file, err := os.Create(path)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	writer := &errorWriter{out: file}
	writeBenchmarks(writer, commandLine, isComplete, runs)
	return trace.NewAggregate(writer.err, file.Close())
}

// errorWriter stores the first error, so that it can be checked once at the end.
type errorWriter struct {
	out io.Writer
	err error
}

func (w *errorWriter) line(format string, values ...any) {
	if w.err == nil {
		_, w.err = fmt.Fprintf(w.out, format+"\n", values...)
	}
}

const benchmarksIntroduction = `# Benchmarks of the planner

Written by

    %s

in virtual time (package internal/experiment): the engines follow
[the engine profile](ENGINE-PROFILE.md), and the decisions are the product's own.
%s

* **of bound**: worth completed in time as a share of the bound, the highest worth that
  any plan reached in the search for the clairvoyant plan of the same scenario and seed.
  Above 100%% the search has missed a better plan.
* **of offered**: the same as a share of the worth that arrived.
* **changes**: finished role changes. **missed**: requests that ran and came too late.
* Each cell is the median over the seeds that were run (%s; the tables give their
  number), with the least and the greatest in brackets; shares of the bound are over the
  seeds for which the search has run (%s).
* Policies: planner (the product's), previous (the product's before these experiments),
  reactive (thresholds), unchanged (the scenario's first roles), all-mixed, static-mean
  (readers and writers for the mean mix), static-best (best split in hindsight),
  clairvoyant (knows all arrivals, pays for changes, best under the declared trade).
`

func writeBenchmarks(w *errorWriter, commandLine string, isComplete bool, runs []*Run) {
	extent := "The same command gives the same page."
	if !isComplete {
		extent = "The sweep was broken off: rows, seeds and bounds that are missing were not run. The\ncommand runs them all."
	}
	w.line(benchmarksIntroduction, commandLine, extent, seedRange(runs), seedRange(withBound(runs)))
	writeGoals(w, runs)
	for _, group := range groupRuns(runs, scenarioKey) {
		w.line("## %s\n", scenarioKey(group[0]))
		w.line("| policy | seeds | of bound | of offered | changes | missed | refused |")
		w.line("| --- | --- | --- | --- | --- | --- | --- |")
		for _, samePolicy := range groupRuns(group, func(run *Run) string { return run.Policy }) {
			w.line("| %s | %d | %s | %s | %s | %s | %s |", samePolicy[0].Policy, len(samePolicy),
				formatSpread(withBound(samePolicy), shareOfBound, "%.1f%%"), formatSpread(samePolicy, shareOfOffered, "%.1f%%"),
				formatSpread(samePolicy, func(run *Run) float64 { return float64(run.RoleChanges) }, "%.0f"),
				formatSpread(samePolicy, func(run *Run) float64 { return float64(run.DeadlineMisses) }, "%.0f"),
				formatSpread(samePolicy, func(run *Run) float64 { return float64(run.Refused) }, "%.0f"))
		}
		w.line("")
	}
}

// writeGoals writes a table with one row per scenario that compares the planner with its aims.
func writeGoals(w *errorWriter, runs []*Run) {
	w.line("## The planner against its aims\n")
	w.line("Aims: 95%% of the bound; 1.5 times static-mean on shifting mixes; no useless change on calm")
	w.line("and square wave; for Rawabi no more changes than the clairvoyant plan and a quarter.\n")
	w.line("| scenario | of bound | 95%% | times static-mean | times previous | changes | clairvoyant's changes | highest policy of bound |")
	w.line("| --- | --- | --- | --- | --- | --- | --- | --- |")
	for _, group := range groupRuns(runs, scenarioKey) {
		planned := policyRuns(group, PolicyPlanner)
		if len(planned) == 0 {
			continue
		}
		reached := "yes"
		if median(withBound(planned), shareOfBound) < 95 {
			reached = "**no**"
		}
		w.line("| %s | %s | %s | %s | %s | %s | %s | %s |", scenarioKey(planned[0]), formatSpread(withBound(planned), shareOfBound, "%.1f%%"), reached,
			goodputRatio(planned, policyRuns(group, PolicyStaticMean)), goodputRatio(planned, policyRuns(group, PolicyPrevious)),
			formatSpread(planned, changesMade, "%.0f"), formatSpread(policyRuns(group, PolicyClairvoyant), changesMade, "%.0f"), highestPolicy(group))
	}
	w.line("")
}

func scenarioKey(run *Run) string { return run.Deployment + " / " + run.Scenario }

func changesMade(run *Run) float64 { return float64(run.RoleChanges) }

func shareOfBound(run *Run) float64 {
	if run.BoundGoodput == nil || *run.BoundGoodput == 0 {
		return 0
	}
	return 100 * run.Goodput / *run.BoundGoodput
}

func shareOfOffered(run *Run) float64 { return 100 * run.Goodput / max(run.OfferedWorth, 1e-9) }

// highestPolicy returns the policy with the highest median share of the bound, and this share, as text.
func highestPolicy(group []*Run) string {
	best, share := "", -1.0
	for _, samePolicy := range groupRuns(group, func(run *Run) string { return run.Policy }) {
		if value := median(withBound(samePolicy), shareOfBound); value > share {
			best, share = samePolicy[0].Policy, value
		}
	}
	return fmt.Sprintf("%s %.1f%%", best, share)
}

// goodputRatio returns the median goodput of the planned runs divided by that of the baseline runs, each as a share
// of the offered worth; "-" without baseline runs.
func goodputRatio(planned, baseline []*Run) string {
	if len(baseline) == 0 {
		return "-"
	}
	return fmt.Sprintf("%.2f", median(planned, shareOfOffered)/max(median(baseline, shareOfOffered), 1e-9))
}

// groupRuns groups runs by a key, in order of the keys' first appearance.
func groupRuns(runs []*Run, key func(*Run) string) [][]*Run {
	place := map[string]int{}
	var groups [][]*Run
	for _, run := range runs {
		at, known := place[key(run)]
		if !known {
			at = len(groups)
			place[key(run)] = at
			groups = append(groups, nil)
		}
		groups[at] = append(groups[at], run)
	}
	return groups
}

func policyRuns(runs []*Run, policy string) []*Run {
	return slices.DeleteFunc(slices.Clone(runs), func(run *Run) bool { return run.Policy != policy })
}

// withBound omits runs without a bound.
func withBound(runs []*Run) []*Run {
	return slices.DeleteFunc(slices.Clone(runs), func(run *Run) bool { return run.BoundGoodput == nil })
}

func sortedValues(runs []*Run, value func(*Run) float64) []float64 {
	values := make([]float64, len(runs))
	for i, run := range runs {
		values[i] = value(run)
	}
	slices.Sort(values)
	return values
}

func median(runs []*Run, value func(*Run) float64) float64 {
	values := sortedValues(runs, value)
	if len(values) == 0 {
		return 0
	}
	return (values[(len(values)-1)/2] + values[len(values)/2]) / 2
}

// formatSpread formats the median with minimum and maximum.
func formatSpread(runs []*Run, value func(*Run) float64, format string) string {
	values := sortedValues(runs, value)
	if len(values) == 0 {
		return "-"
	}
	text := func(number float64) string { return fmt.Sprintf(format, number) }
	middle := text(median(runs, value))
	least, greatest := text(values[0]), text(values[len(values)-1])
	if least == greatest {
		return middle
	}
	return fmt.Sprintf("%s (%s to %s)", middle, least, greatest)
}

func seedRange(runs []*Run) string {
	var seeds []uint64
	for _, run := range runs {
		if !slices.Contains(seeds, run.Seed) {
			seeds = append(seeds, run.Seed)
		}
	}
	slices.SortFunc(seeds, cmp.Compare[uint64])
	return strings.Trim(strings.ReplaceAll(fmt.Sprint(seeds), " ", ", "), "[]")
}
