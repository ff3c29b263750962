package experiment

import (
	"context"
	"sync"

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
	// Bound asks for the clairvoyant bound of each scenario and seed.
	Bound     bool
	WholeOnly bool
	// Parallel is the number of studies at the same time.
	Parallel int
}

// Run returns the runs by scenario, seed and policy, in that order.
func (s Suite) Run(ctx context.Context) ([]*Run, error) {
	studies := len(s.Scenarios) * s.Seeds
	results := make([][]*Run, studies)
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(max(s.Parallel, 1))
	var mutex sync.Mutex
	for index := range studies {
		group.Go(func() error {
			if ctx.Err() != nil {
				return trace.Wrap(ctx.Err())
			}
			runs, err := s.runStudy(s.Scenarios[index/s.Seeds], s.FirstSeed+uint64(index%s.Seeds))
			mutex.Lock()
			defer mutex.Unlock()
			results[index] = runs
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

func (s Suite) runStudy(declared scenario.Scenario, seed uint64) ([]*Run, error) {
	study := NewStudy(declared, seed)
	study.WholeOnly = s.WholeOnly
	var runs []*Run
	for _, policy := range s.Policies {
		run, err := study.Run(policy)
		if err != nil {
			return nil, err
		}
		runs = append(runs, run)
	}
	if !s.Bound {
		return runs, nil
	}
	bound, err := study.Bound()
	for _, run := range runs {
		run.BoundGoodput = &bound
	}
	return runs, err
}
