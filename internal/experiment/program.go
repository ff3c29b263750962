package experiment

import (
	"math"
	"time"

	"github.com/hazelpitch/hazelpitch/internal/planner"
)

// program is the dynamic program of one service: the state is the split, and one step
// lasts as long as one change takes an engine out.
type program struct {
	model   planner.Model
	windows []window
	splits  []planner.Split
	initial planner.Split
	// most is the number of engines that may be out at once.
	most  int
	price float64
	rates map[rateKey]float64
}

type rateKey struct {
	split planner.Split
	step  int
}

// solve returns the splits to go to and when.
func (p *program) solve(lead time.Duration) schedule {
	steps := len(p.windows)
	// best is the most worth from a step to the end, by the split that it begins in.
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

// states are the allowed splits and the initial one.
func (p *program) states() []planner.Split {
	for _, split := range p.splits {
		if split == p.initial {
			return p.splits
		}
	}
	return append([]planner.Split{p.initial}, p.splits...)
}

// bestMove weighs staying and every change of up to most engines in one step.
func (p *program) bestMove(step int, from planner.Split, after map[planner.Split]float64) (float64, planner.Split) {
	length := (p.windows[step].to - p.windows[step].from).Seconds()
	bestTo := from
	best := p.rate(from, step)*length + after[from]
	for _, to := range p.splits {
		moves := movesBetween(from, to)
		if moves == 0 || moves > p.most {
			continue
		}
		during := planner.Split{
			Prefill: min(from.Prefill, to.Prefill), Decode: min(from.Decode, to.Decode), Mixed: min(from.Mixed, to.Mixed),
		}
		value := p.rate(during, step)*length + after[to] - p.price*float64(moves)
		if value > best+math.Abs(best)*1e-9 {
			best, bestTo = value, to
		}
	}
	return best, bestTo
}

func (p *program) rate(split planner.Split, step int) float64 {
	key := rateKey{split: split, step: step}
	if rate, known := p.rates[key]; known {
		return rate
	}
	rate := p.windows[step].rate(p.model, split)
	p.rates[key] = rate
	return rate
}
