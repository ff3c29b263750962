// Package stageplan decides which engines of a site read prompts and which generate. It is
// pure: the owner tells it the engines and the work, and orders what it answers.
//
// The plan weighs both kinds of work by the engine time that they take. An engine changes
// when one stage has more work than it can do in time and the other much less, since a change
// takes the engine away for seconds and its cache from those that used it. Before any work
// is known a prior share is used.
package stageplan

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/hazelpitch/hazelpitch/internal/mechanism"
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
	ID string
	// Group is the zone and the cell of the engine: each group keeps engines of both stages.
	Group string
	Stage Stage
	// Busy engines take no order: they leave, or one is under way.
	Busy bool
	// JustStarted engines have just begun to serve: they run and keep nothing that a change would cost.
	JustStarted bool
}

// Work is the engine time that a service's requests take per time: how many engines they
// would keep busy.
type Work struct {
	Prefill float64
	Decode  float64
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
	// MinChangeInterval is the time without changes after one under load.
	MinChangeInterval time.Duration
	// Without are mechanisms that are left out; none for users.
	Without mechanism.Set
}

const (
	// prefillUse and decodeUse are the parts of their time for which engines may be busy
	// before others have to help them.
	prefillUse = 0.6
	decodeUse  = 0.7
	// improvement is how many times less busy, by these measures, a change must make the busier
	// stage: engines are away meanwhile, and their caches are lost to their former stage.
	improvement = 1.3
	// turnBackHolds is how many holds must pass before engines are changed back.
	turnBackHolds = 3
	// mostAtOnce is the part of the engines that may change at once.
	mostAtOnce = 0.25
	// leastShare is the part of the engines that each stage keeps, and leastEngines their
	// least number, so that a loss leaves others.
	leastShare   = 0.3
	leastEngines = 2
	// leastWork is the work below which a part of the engines, by their number, is idle.
	leastWork = 0.02
	// smoothing is the weight of a new observation of the work.
	smoothing = 0.2
)

// Plan follows one service's engines.
type Plan struct {
	config    Config
	work      Work
	changedAt time.Duration
	changed   bool
	// towards is the stage that engines were last changed into.
	towards Stage
}

// New returns a plan.
func New(config Config) *Plan { return &Plan{config: config} }

// Next returns the changes to order now, none most of the time. Call it at steady intervals.
func (p *Plan) Next(now time.Duration, engines []Engine, work Work) []Change {
	if len(engines) < 2*leastEngines || !p.config.Without.IsEnabled(mechanism.StagePlan) {
		return nil
	}
	p.observe(work)
	if work.Known && p.config.Without.IsEnabled(mechanism.NewEngineStages) {
		if changes := p.placeFresh(engines); len(changes) > 0 {
			return changes // they cost nothing, so that no time has to pass after them
		}
	}
	var changes []Change
	if !work.Known || p.work.Prefill+p.work.Decode < leastWork*float64(len(engines)) {
		changes = p.towardsPrior(engines)
	} else if !p.changed || now-p.changedAt >= p.config.MinChangeInterval {
		changes = p.underLoad(engines)
		if p.turnsBack(now, changes) {
			return nil
		}
	}
	if len(changes) > 0 {
		p.changedAt, p.changed, p.towards = now, true, changes[0].Stage
	}
	return changes
}

// turnsBack reports whether changes would take back others that are not old enough for that: a
// mix that swings within seconds is better borne than chased.
func (p *Plan) turnsBack(now time.Duration, changes []Change) bool {
	return len(changes) > 0 && p.changed && p.config.Without.IsEnabled(mechanism.TurnBackDelay) && changes[0].Stage != p.towards && now-p.changedAt < turnBackHolds*p.config.MinChangeInterval
}

// observe smooths the work, which swings within seconds.
func (p *Plan) observe(work Work) {
	if !work.Known {
		return
	}
	if !p.work.Known {
		p.work = work
		return
	}
	p.work.Prefill += smoothing * (work.Prefill - p.work.Prefill)
	p.work.Decode += smoothing * (work.Decode - p.work.Decode)
}

// towardsPrior changes as many idle engines at once as the prior share asks for, but only
// before any work was known: later, engines keep what they have cached.
func (p *Plan) towardsPrior(engines []Engine) []Change {
	if p.work.Known {
		return nil
	}
	total := float64(len(engines))
	least := float64(p.least(len(engines)))
	wanted := math.Round(min(max(p.config.PriorPrefillShare*total, least), total-least))
	return changeTo(engines, int(wanted), len(engines))
}

// changeTo picks the engines that change, at most so many, until the wanted number reads prompts.
func changeTo(engines []Engine, prefill, most int) []Change {
	difference := prefill - countPrefill(engines)
	return choose(engines, difference > 0, min(max(difference, -difference), most))
}

// underLoad changes as many engines as it takes to share the lack of time evenly between the
// stages, but only when one of them has too little and a change eases that much.
func (p *Plan) underLoad(engines []Engine) []Change {
	prefill := countPrefill(engines)
	if prefill == 0 || prefill == len(engines) {
		return choose(engines, prefill == 0, leastEngines)
	}
	now := p.need(prefill, len(engines))
	best := p.bestPrefill(len(engines))
	if now <= 1 || now < improvement*p.need(best, len(engines)) {
		return nil
	}
	most := max(int(mostAtOnce*float64(len(engines))), 1)
	if !p.config.Without.IsEnabled(mechanism.ConcurrentChanges) {
		most = 1
	}
	return changeTo(engines, best, most)
}

// need is how many times busier than it may be the busier stage is when so many engines of a
// number read prompts.
func (p *Plan) need(prefill, total int) float64 {
	return max(p.work.Prefill/prefillUse/float64(prefill), p.work.Decode/decodeUse/float64(total-prefill))
}

// bestPrefill is the number of engines that should read prompts.
func (p *Plan) bestPrefill(total int) int {
	best := p.least(total)
	for prefill := best + 1; prefill <= total-p.least(total); prefill++ {
		if p.need(prefill, total) < p.need(best, total) {
			best = prefill
		}
	}
	return best
}

// least is the number of engines that each stage keeps.
func (p *Plan) least(total int) int {
	if !p.config.Without.IsEnabled(mechanism.MinimumShare) {
		return leastEngines
	}
	return max(leastEngines, int(math.Round(leastShare*float64(total))))
}

// countPrefill counts the engines that read prompts.
func countPrefill(engines []Engine) int {
	count := 0
	for _, engine := range engines {
		if engine.Stage == StagePrefill {
			count++
		}
	}
	return count
}

// choose picks the engines that change: from the group that has most of the stage they
// leave, so that both stages stay spread.
func choose(engines []Engine, toPrefill bool, count int) []Change {
	from, to := StagePrefill, StageDecode
	if toPrefill {
		from, to = StageDecode, StagePrefill
	}
	groups := groupsOf(engines, from)
	var changes []Change
	for len(changes) < count {
		fullest := fullestGroup(groups)
		if fullest == nil {
			break
		}
		changes = append(changes, Change{Engine: fullest.free[0], Stage: to})
		fullest.free = fullest.free[1:]
		fullest.count--
	}
	return changes
}

// group counts the engines of one stage in one group.
type group struct {
	name  string
	count int
	// free are those of them that take an order, by identity.
	free []string
}

// groupsOf counts the engines of a stage by group.
func groupsOf(engines []Engine, stage Stage) []*group {
	byName := map[string]*group{}
	for _, engine := range engines {
		if engine.Stage != stage {
			continue
		}
		if byName[engine.Group] == nil {
			byName[engine.Group] = &group{name: engine.Group}
		}
		byName[engine.Group].count++
		if !engine.Busy {
			byName[engine.Group].free = append(byName[engine.Group].free, engine.ID)
		}
	}
	groups := slices.Collect(maps.Values(byName))
	for _, counted := range groups {
		slices.Sort(counted.free)
	}
	slices.SortFunc(groups, func(a, b *group) int { return cmp.Compare(a.name, b.name) })
	return groups
}

// fullestGroup returns the group with most engines of those that have a free one, among equals
// the one with the first engine; nil when there is none.
func fullestGroup(groups []*group) *group {
	var best *group
	for _, counted := range groups {
		if len(counted.free) == 0 {
			continue
		}
		if best == nil || counted.count > best.count || counted.count == best.count && counted.free[0] < best.free[0] {
			best = counted
		}
	}
	return best
}
