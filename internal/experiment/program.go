package experiment

import (
	"math"
	"time"

	"github.com/hazelpitch/hazelpitch/internal/planner"
)

// dynamicProgram is the dynamic program for one service. Its state is the split; one step
// lasts as long as a change takes an engine out of service.
type dynamicProgram struct {
	model   planner.Model
	windows []window
	splits  []planner.Split
	initial planner.Split
	// maxMoves is the number of engines that may be out of service at once.
	maxMoves    int
	changePrice float64
	rateCache   map[rateKey]float64
}

type rateKey struct {
	split planner.Split
	step  int
}

// solve returns the best schedule of splits. Each split of the schedule is set earlier by lead than the program's step.
func (p *dynamicProgram) solve(lead time.Duration) schedule {
	steps := len(p.windows)
	// best is the maximum worth from a step to the end, by the split at the step's start.
	best := make([]map[planner.Split]float64, steps+1)
	next := make([]map[planner.Split]planner.Split, steps)
	best[steps] = map[planner.Split]float64{}
	states := p.states()
	for step := steps - 1; step >= 0; step-- {
		best[step] = make(map[planner.Split]float64, len(states))
		next[step] = make(map[planner.Split]planner.Split, len(states))
		for _, from := range states {
			value, to := p.bestMove(step, from, best[step+1])
			best[step][from], next[step][from] = value, to
		}
	}
	var result schedule
	current := p.initial
	for step := range steps {
		to := next[step][current]
		if to != current {
			result = append(result, scheduledSplit{from: max(p.windows[step].from-lead, 0), split: to})
		}
		current = to
	}
	return result
}

// states returns the allowed splits and the initial one.
func (p *dynamicProgram) states() []planner.Split {
	for _, split := range p.splits {
		if split == p.initial {
			return p.splits
		}
	}
	return append([]planner.Split{p.initial}, p.splits...)
}

// bestMove returns the highest worth from a step to the end and the split to which to change from the given split. It
// compares no change with every change of up to maxMoves engines; after holds the worth after the step, by split.
func (p *dynamicProgram) bestMove(step int, from planner.Split, after map[planner.Split]float64) (float64, planner.Split) {
	length := (p.windows[step].to - p.windows[step].from).Seconds()
	bestTo := from
	best := p.rate(from, step)*length + after[from]
	for _, to := range p.splits {
		moves := movesBetween(from, to)
		if moves == 0 || moves > p.maxMoves {
			continue
		}
		during := planner.Split{
			Prefill: min(from.Prefill, to.Prefill), Decode: min(from.Decode, to.Decode), Mixed: min(from.Mixed, to.Mixed),
		}
		value := p.rate(during, step)*length + after[to] - p.changePrice*float64(moves)
		if value > best+math.Abs(best)*1e-9 {
			best, bestTo = value, to
		}
	}
	return best, bestTo
}

func (p *dynamicProgram) rate(split planner.Split, step int) float64 {
	key := rateKey{split: split, step: step}
	if rate, known := p.rateCache[key]; known {
		return rate
	}
	rate := p.windows[step].worthRate(p.model, split)
	p.rateCache[key] = rate
	return rate
}
