// Package stageplan decides which engines of a site read prompts and which generate. It is
// pure: the owner tells it the engines and the work, and orders what it answers.
//
// Reading prompts fills an engine with one prompt at a time; generating fills it with many
// streams. The plan weighs both by the time that requests spend at the engines: so many
// concurrent prompts, and so many concurrent streams of which an engine bears several, want
// engines in proportion. Before any work is known a prior share is used.
package stageplan

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Stage is what an engine does.
type Stage int

// Stages of an engine.
const (
	StagePrefill Stage = iota
	StageDecode
)

// Engine is one engine as the list shows it.
type Engine struct {
	ID    string
	Zone  string
	Slots int
	Stage Stage
	// Busy engines take no order: they leave, or one is under way.
	Busy bool
}

// Work is what the engines of a service do on average: concurrent prompts and streams.
type Work struct {
	Prompts float64
	Streams float64
	// Known is false before anything was reported.
	Known bool
}

// Change orders one engine into a stage.
type Change struct {
	Engine string
	Stage  Stage
}

// Config tunes a plan. All fields are required.
type Config struct {
	// PriorPrefillShare is the part of the engines that read prompts until work is known.
	PriorPrefillShare float64
	// Hold is the time without changes after one under load.
	Hold time.Duration
	// Deadband is by how many engines the wanted number must differ before one changes.
	Deadband float64
}

const (
	// streamSlotShare is the part of its slots that a decoding engine fills before it
	// counts as one engine's worth of work.
	streamSlotShare = 0.25
	// leastDecode and leastPrefill are the engines that each stage keeps, so that the loss
	// of one leaves another.
	leastDecode  = 2
	leastPrefill = 2
	// leastWork is the concurrent work below which engines count as idle.
	leastWork = 0.5
)

// Plan follows one service's engines.
type Plan struct {
	config    Config
	changedAt time.Duration
	changed   bool
}

// New returns a plan.
func New(config Config) *Plan { return &Plan{config: config} }

// Next returns the changes to order now, none most of the time.
func (p *Plan) Next(now time.Duration, engines []Engine, work Work) []Change {
	if len(engines) < leastDecode+leastPrefill {
		return nil
	}
	idle := !work.Known || work.Prompts+work.Streams < leastWork
	if !idle && p.changed && now-p.changedAt < p.config.Hold {
		return nil
	}
	current, underWay := countPrefill(engines)
	if underWay && !idle {
		return nil
	}
	wanted := p.wantedPrefill(engines, work, idle)
	difference := wanted - float64(current)
	if math.Abs(difference) < p.config.Deadband {
		return nil
	}
	count := 1
	if idle {
		count = int(math.Abs(math.Round(difference)))
	}
	changes := choose(engines, difference > 0, count)
	if len(changes) > 0 {
		p.changedAt, p.changed = now, true
	}
	return changes
}

// countPrefill counts the engines that read prompts, and tells whether any is busy.
func countPrefill(engines []Engine) (count int, busy bool) {
	for _, engine := range engines {
		if engine.Stage == StagePrefill {
			count++
		}
		busy = busy || engine.Busy
	}
	return count, busy
}

// wantedPrefill returns how many engines should read prompts.
func (p *Plan) wantedPrefill(engines []Engine, work Work, idle bool) float64 {
	total := float64(len(engines))
	share := p.config.PriorPrefillShare
	if !idle {
		streams := work.Streams / max(1, streamSlotShare*float64(engines[0].Slots))
		share = work.Prompts / (work.Prompts + streams)
	}
	return math.Round(min(max(share*total, leastPrefill), total-leastDecode))
}

// choose picks the engines that change: from the zone that has most of the stage they
// leave, so that both stages stay spread.
func choose(engines []Engine, toPrefill bool, count int) []Change {
	from, to := StagePrefill, StageDecode
	if toPrefill {
		from, to = StageDecode, StagePrefill
	}
	left := slices.Clone(engines)
	slices.SortFunc(left, func(a, b Engine) int { return cmp.Compare(a.ID, b.ID) })
	var changes []Change
	for len(changes) < count {
		index := fullestZone(left, from)
		if index < 0 {
			break
		}
		changes = append(changes, Change{Engine: left[index].ID, Stage: to})
		left[index].Stage = to
	}
	return changes
}

// fullestZone returns an engine that may leave the stage, in the zone that has most of the
// stage; -1 when there is none.
func fullestZone(engines []Engine, stage Stage) int {
	perZone := map[string]int{}
	for _, engine := range engines {
		if engine.Stage == stage {
			perZone[engine.Zone]++
		}
	}
	best := -1
	for index, engine := range engines {
		if engine.Stage != stage || engine.Busy {
			continue
		}
		if best < 0 || perZone[engine.Zone] > perZone[engines[best].Zone] {
			best = index
		}
	}
	return best
}
