package benchcommand

import (
	"context"
	"fmt"
	"io/fs"
	"path/filepath"
	"slices"

	"github.com/gravitational/trace"

	"github.com/hazelpitch/hazelpitch/internal/experiment"
	"github.com/hazelpitch/hazelpitch/internal/scenario"
)

// experimentFlags are the flags of `hazelbench experiment`.
type experimentFlags struct {
	Policies  []string `long:"policy" value-name:"NAME" description:"policy to run; may be repeated; \"all\" is every one; default planner"`
	Seed      uint64   `long:"seed" default:"1" description:"first seed"`
	Seeds     int      `long:"seeds" default:"1" description:"number of seeds, from the first on"`
	Bound     bool     `long:"bound" description:"search for the clairvoyant plan and compare with it"`
	WholeOnly bool     `long:"whole-only" description:"send each request to one engine; hand over no KV caches"`
	Suite     string   `long:"suite" value-name:"DIR" description:"run every scenario file of a directory"`
	Write     string   `long:"write" value-name:"FILE" description:"write the table of the runs as a page, with all policies and the bound"`
	Keep      string   `long:"keep" value-name:"FILE" description:"add finished runs to a file and take those that are in it from there; delete it when code or scenarios have changed"`
	KeptOnly  bool     `long:"kept-only" description:"with --keep: run nothing, take what the file has"`
	Parallel  int      `long:"parallel" default:"4" description:"runs at the same time"`
	JSON      bool     `long:"json" description:"print the runs as JSON"`
}

func experimentCommand() command {
	return command{
		name:  "experiment",
		short: "run scenarios in virtual time and compare planning policies",
		long: "Runs scenario files in virtual time with the product's own admission, routing and planner, or with another " +
			"policy for the roles, and prints goodput, role changes and latencies. The same file, policy and seed give the " +
			"same result. Policies: planner, previous, reactive, unchanged, all-mixed, static-mean, static-best, clairvoyant.",
		runner: new(experimentFlags),
	}
}

func (e *experimentFlags) run(ctx context.Context, environment Environment, rest []string) error {
	scenarios, err := e.scenarios(rest)
	if err != nil {
		return &usageError{cause: err}
	}
	policies, err := e.policies()
	if err != nil {
		return &usageError{cause: err}
	}
	if e.Seeds < 1 || e.Parallel < 1 {
		return &usageError{cause: trace.BadParameter("--seeds and --parallel must be at least 1")}
	}
	suite := experiment.Suite{
		Scenarios: scenarios, Policies: policies, FirstSeed: e.Seed, Seeds: e.Seeds,
		Bound: e.Bound || e.Write != "", WholeOnly: e.WholeOnly, Parallel: e.Parallel, RunFile: e.Keep, RunFileOnly: e.KeptOnly,
	}
	runs, err := suite.Run(ctx)
	if err != nil {
		return trace.Wrap(err)
	}
	if e.Write != "" {
		return trace.Wrap(experiment.WriteBenchmarks(e.Write, e.commandLine(), !e.KeptOnly, runs))
	}
	if e.JSON {
		return trace.Wrap(writeRuns(environment, runs))
	}
	experiment.WriteSummary(environment.Stdout, runs)
	return nil
}

// scenarios loads the scenario files that the arguments name and those in the directory that --suite names.
func (e *experimentFlags) scenarios(files []string) ([]scenario.Scenario, error) {
	if e.Suite != "" {
		suite, err := suiteFiles(e.Suite)
		if err != nil {
			return nil, err
		}
		files = append(files, suite...)
	}
	if len(files) == 0 {
		return nil, trace.BadParameter("name a scenario file, or a directory of them with --suite")
	}
	scenarios := make([]scenario.Scenario, len(files))
	for i, file := range files {
		read, err := scenario.Load(file)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		scenarios[i] = read
	}
	return scenarios, nil
}

// suiteFiles lists the scenario files in a directory and its subdirectories, sorted by path.
func suiteFiles(directory string) ([]string, error) {
	var files []string
	err := filepath.WalkDir(directory, func(path string, entry fs.DirEntry, err error) error {
		if err == nil && !entry.IsDir() && filepath.Ext(path) == ".yaml" {
			files = append(files, path)
		}
		return err
	})
	return files, trace.Wrap(err, "--suite %s", directory)
}

func (e *experimentFlags) policies() ([]string, error) {
	all := experiment.PolicyNames()
	switch {
	case slices.Contains(e.Policies, "all"), e.Write != "" && len(e.Policies) == 0:
		return all, nil
	case len(e.Policies) == 0:
		return []string{experiment.PolicyPlanner}, nil
	}
	for _, name := range e.Policies {
		if !slices.Contains(all, name) {
			return nil, trace.BadParameter("--policy %s: there is no such policy; policies are %v and all", name, all)
		}
	}
	return e.Policies, nil
}

// commandLine returns the command that writes the page that --write names again.
func (e *experimentFlags) commandLine() string {
	return fmt.Sprintf("hazelbench experiment --suite %s --seeds %d --write %s", e.Suite, e.Seeds, e.Write)
}

// writeRuns prints a single run as a JSON object and several as a JSON list.
func writeRuns(environment Environment, runs []*experiment.Run) error {
	if len(runs) == 1 {
		return printJSON(environment.Stdout, runs[0])
	}
	return printJSON(environment.Stdout, runs)
}
