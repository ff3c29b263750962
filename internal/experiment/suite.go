package experiment

import (
	"context"

	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"

	"github.com/hazelpitch/hazelpitch/internal/scenario"
)

// Suite is a set of runs: every scenario with every seed under every policy.
type Suite struct {
	Scenarios []scenario.Scenario
	Policies  []string
	FirstSeed uint64
	Seeds     int
	// Bound selects the search for the clairvoyant bound of each scenario and seed.
	Bound     bool
	WholeOnly bool
	// Parallel is the number of concurrent studies.
	Parallel int
	// RunFile is a file of finished runs, which are not repeated; empty for none.
	RunFile string
	// RunFileOnly uses only the runs in RunFile and runs nothing.
	RunFileOnly bool
}

// Run returns the runs in order of scenario, seed and policy.
func (s Suite) Run(ctx context.Context) ([]*Run, error) {
	finished, err := openRunFile(s.RunFile)
	if err != nil {
		return nil, err
	}
	defer finished.close()
	results := make([][]*Run, len(s.Scenarios)*s.Seeds)
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(max(s.Parallel, 1))
	for index := range results {
		group.Go(func() error {
			if ctx.Err() != nil {
				return trace.Wrap(ctx.Err())
			}
			var err error
			results[index], err = s.runStudy(s.Scenarios[index/s.Seeds], s.FirstSeed+uint64(index%s.Seeds), finished)
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return nil, trace.Wrap(err)
	}
	var all []*Run
	for _, runs := range results {
		all = append(all, runs...)
	}
	return all, nil
}

func (s Suite) runStudy(declared scenario.Scenario, seed uint64, finished *runFile) ([]*Run, error) {
	study := NewStudy(declared, seed)
	study.WholeOnly = s.WholeOnly
	var runs []*Run
	for _, policy := range s.Policies {
		run, found := finished.find(&declared, policy, seed)
		if !found && s.RunFileOnly {
			continue
		}
		if !found {
			var err error
			if run, err = study.Run(policy); err != nil {
				return nil, err
			}
			if policy == PolicyClairvoyant {
				run.BoundGoodput = &study.plan.highestGoodput
			}
			if err := finished.add(run); err != nil {
				return nil, err
			}
		}
		runs = append(runs, run)
	}
	if !s.Bound {
		return runs, nil
	}
	return runs, s.setBound(runs, study)
}

// setBound sets the clairvoyant bound of all runs of a study, from its clairvoyant run if there is one.
func (s Suite) setBound(runs []*Run, study *Study) error {
	for _, run := range runs {
		if run.Policy == PolicyClairvoyant && run.BoundGoodput != nil {
			for _, other := range runs {
				other.BoundGoodput = run.BoundGoodput
			}
			return nil
		}
	}
	if s.RunFileOnly {
		return nil
	}
	bound, err := study.Bound()
	for _, run := range runs {
		run.BoundGoodput = &bound
	}
	return err
}
