package simulation

import (
	"cmp"
	"slices"
	"sync"
)

// Sweep runs the seeds from first to last, with the given number of workers, each run in one thread. It passes the
// results to report in the order of the seeds. When report returns false, Sweep waits for the runs under way and
// returns early.
func Sweep(options Options, first, last uint64, workers int, report func(Result) bool) {
	seeds := make(chan uint64, workers)
	results := make(chan Result, workers)
	stop := make(chan struct{})
	var running sync.WaitGroup
	for range max(workers, 1) {
		running.Go(func() {
			for seed := range seeds {
				each := options
				each.Seed = seed
				results <- Run(each)
			}
		})
	}
	go func() {
		defer close(seeds)
		for seed := first; seed <= last; seed++ {
			select {
			case seeds <- seed:
			case <-stop:
				return
			}
		}
	}()
	go func() {
		running.Wait()
		close(results)
	}()
	reportInOrder(results, first, stop, report)
}

// reportInOrder passes the results to report in the order of their seeds, beginning with the seed next. It closes
// stop when report returns false, and passes on no further results.
func reportInOrder(results <-chan Result, next uint64, stop chan<- struct{}, report func(Result) bool) {
	var early []Result
	stopped := false
	for result := range results {
		early = append(early, result)
		slices.SortFunc(early, func(a, b Result) int { return cmp.Compare(a.Seed, b.Seed) })
		for len(early) > 0 && early[0].Seed == next && !stopped {
			if !report(early[0]) {
				stopped = true
				close(stop)
			}
			early = early[1:]
			next++
		}
	}
}
