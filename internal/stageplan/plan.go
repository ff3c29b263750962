// Package stageplan decides which engines of a site prefill and which decode. It is pure: the owner passes the engines
// and the work, and orders the result.
//
// The plan compares both kinds of work by the engine time that they take. An engine changes its stage if one stage has
// more work than it can do in time and the other much less, since a change makes the engine unavailable for seconds and
// loses its cache for the requests that used it. Until the work is known, a prior share applies.
package stageplan

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/hazelpitch/hazelpitch/internal/mechanism"
)

// Stage is the stage of requests that an engine serves.
type Stage int

// Stages of an engine.
const (
	StagePrefill Stage = iota
	StageDecode
)

// Engine is an engine as listed.
type Engine struct {
	ID string
	// Group is the zone and the cell of the engine; each group keeps engines of both stages.
	Group string
	Stage Stage
	// Busy engines take no order: they are leaving or are carrying out another order.
	Busy bool
	// JustStarted engines have just started to serve: a change costs no running requests and no cache.
	JustStarted bool
	// MissesGap engines would break the gap targets of streams as decode engines; KeepsGap engines are known to keep
	// them. Both are false if the speed is unknown.
	MissesGap, KeepsGap bool
	// StepTime is the usual time of one decode step; 0 if unknown.
	StepTime time.Duration
}

// Work is the engine time per unit of time that a service's requests take, that is, how many engines they keep busy.
type Work struct {
	Prefill float64
	Decode  float64
	// Known is false before the first report.
	Known bool
}

// Change orders one engine to change to a stage.
type Change struct {
	Engine string
	Stage  Stage
	Reason Reason
}

// Config configures a plan. All fields are required.
type Config struct {
	// PriorPrefillShare is the share of prefill engines until the work is known.
	PriorPrefillShare float64
	// MinChangeInterval is the minimum time between changes under load.
	MinChangeInterval time.Duration
	// Without holds mechanisms that are switched off; none in production.
	Without mechanism.Set
}

const (
	// prefillUtilisation and decodeUtilisation are the shares of their time for which engines may be busy before
	// other engines must join their stage.
	prefillUtilisation = 0.6
	decodeUtilisation  = 0.7
	// minImprovement is the factor by which a change must lower the load of the busier stage, relative to
	// prefillUtilisation and decodeUtilisation: engines are unavailable during the change, and their caches are lost for
	// their former stage.
	minImprovement = 1.3
	// turnBackIntervals is the number of Config.MinChangeInterval that must pass before engines change back.
	turnBackIntervals = 3
	// maxChangeShare is the share of the engines that may change at once.
	maxChangeShare = 0.25
	// minStageShare is the share of the engines that each stage keeps, and minStageEngines their minimum number, so
	// that a crash leaves other engines.
	minStageShare   = 0.3
	minStageEngines = 2
	// minWorkShare is the work, as a share of the number of engines, below which the engines count as idle.
	minWorkShare = 0.02
	// workSmoothing is the weight of a new observation of the work.
	workSmoothing = 0.2
)

// Plan plans the stages of one service's engines.
type Plan struct {
	config       Config
	work         Work
	lastChangeAt time.Duration
	hasChanged   bool
	// lastStage is the stage to which the last changes under load or to the prior share moved engines.
	lastStage Stage
	// movedBySpeed are the prefill engines that changesBySpeed has moved from decode.
	movedBySpeed map[string]bool
}

// New returns a plan without observations.
func New(config Config) *Plan { return &Plan{config: config, movedBySpeed: map[string]bool{}} }

// Next returns the changes to order now, usually none. It must be called at constant intervals.
func (p *Plan) Next(now time.Duration, engines []Engine, work Work) []Change {
	if len(engines) < 2*minStageEngines || !p.config.Without.IsEnabled(mechanism.StagePlan) {
		return nil
	}
	p.observe(work)
	engines = p.withSpeeds(engines)
	if work.Known && p.config.Without.IsEnabled(mechanism.NewEngineStages) {
		if changes := p.placeJustStarted(engines); len(changes) > 0 {
			return changes // they cost nothing, so the next ones need not wait
		}
	}
	if changes := p.changesByWork(now, engines, work); len(changes) > 0 {
		p.lastChangeAt, p.hasChanged, p.lastStage = now, true, changes[0].Stage
		return changes
	}
	return p.changesBySpeed(now, engines, work)
}

// changesByWork returns the changes that the work requires, or the prior share until the work is known.
func (p *Plan) changesByWork(now time.Duration, engines []Engine, work Work) []Change {
	if !work.Known || p.work.Prefill+p.work.Decode < minWorkShare*float64(len(engines)) {
		return withReason(p.changesToPrior(engines), ByPrior)
	}
	if p.hasChanged && now-p.lastChangeAt < p.config.MinChangeInterval {
		return nil
	}
	changes := p.changesUnderLoad(engines)
	if len(changes) > 0 && p.reversesRecentChange(now, changes[0].Stage) {
		return nil
	}
	return withReason(changes, ByLoad)
}

// reversesRecentChange reports whether changes to a stage would reverse others that are too recent. If the mix swings
// within seconds, it is better not to follow it.
func (p *Plan) reversesRecentChange(now time.Duration, stage Stage) bool {
	return p.hasChanged && p.config.Without.IsEnabled(mechanism.TurnBackDelay) && stage != p.lastStage && now-p.lastChangeAt < turnBackIntervals*p.config.MinChangeInterval
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
	p.work.Prefill += workSmoothing * (work.Prefill - p.work.Prefill)
	p.work.Decode += workSmoothing * (work.Decode - p.work.Decode)
}

// changesToPrior changes as many idle engines at once as the prior share requires, but only before any work is known:
// later, engines keep their caches.
func (p *Plan) changesToPrior(engines []Engine) []Change {
	if p.work.Known {
		return nil
	}
	return changesTo(engines, p.priorPrefill(engines), len(engines))
}

// changesTo returns the changes, at most limit, that lead to the wanted number of prefill engines.
func changesTo(engines []Engine, prefill, limit int) []Change {
	difference := prefill - countPrefill(engines)
	return chooseChanges(engines, difference > 0, min(max(difference, -difference), limit))
}

// changesUnderLoad changes as many engines as needed to balance the load of both stages, but only if one stage is
// overloaded and the changes lower its load by minImprovement.
func (p *Plan) changesUnderLoad(engines []Engine) []Change {
	prefill := countPrefill(engines)
	if prefill == 0 || prefill == len(engines) {
		return chooseChanges(engines, prefill == 0, minStageEngines)
	}
	current := p.overload(prefill, len(engines))
	best := p.bestPrefill(len(engines))
	if current <= 1 || current < minImprovement*p.overload(best, len(engines)) {
		return nil
	}
	limit := max(int(maxChangeShare*float64(len(engines))), 1)
	if !p.config.Without.IsEnabled(mechanism.ConcurrentChanges) {
		limit = 1
	}
	return changesTo(engines, best, limit)
}

// overload returns the load of the busier stage as a multiple of the permitted load, if prefill of the total engines
// prefill and the others decode.
func (p *Plan) overload(prefill, total int) float64 {
	return max(p.work.Prefill/prefillUtilisation/float64(prefill), p.work.Decode/decodeUtilisation/float64(total-prefill))
}

// bestPrefill returns the number of prefill engines, among total engines, with the lowest overload.
func (p *Plan) bestPrefill(total int) int {
	best := p.minEngines(total)
	for prefill := best + 1; prefill <= total-p.minDecodeEngines(total); prefill++ {
		if p.overload(prefill, total) < p.overload(best, total) {
			best = prefill
		}
	}
	return best
}

// minEngines returns the number of engines that each stage keeps.
func (p *Plan) minEngines(total int) int {
	if !p.config.Without.IsEnabled(mechanism.MinimumShare) {
		return minStageEngines
	}
	return max(minStageEngines, int(math.Round(minStageShare*float64(total))))
}

// countPrefill returns the number of prefill engines.
func countPrefill(engines []Engine) int {
	count := 0
	for _, engine := range engines {
		if engine.Stage == StagePrefill {
			count++
		}
	}
	return count
}

// chooseChanges picks the engines that change, each from the group with the most engines of the old stage, so that both
// stages stay spread over the groups.
func chooseChanges(engines []Engine, toPrefill bool, count int) []Change {
	to := StageDecode
	if toPrefill {
		to = StagePrefill
	}
	groups := groupsOf(engines, otherStage(to))
	var changes []Change
	for len(changes) < count {
		largest := largestGroup(groups, to)
		if largest == nil {
			break
		}
		changes = append(changes, Change{Engine: largest.available[0].ID, Stage: to})
		largest.available = largest.available[1:]
		largest.count--
	}
	return changes
}

// stageGroup counts the engines of one stage in one group.
type stageGroup struct {
	name  string
	count int
	// available are those of the engines that can take an order, in the order in which they change their stage.
	available []Engine
}

// groupsOf counts the engines of a stage by group.
func groupsOf(engines []Engine, stage Stage) []*stageGroup {
	byName := map[string]*stageGroup{}
	for _, engine := range engines {
		if engine.Stage != stage {
			continue
		}
		if byName[engine.Group] == nil {
			byName[engine.Group] = &stageGroup{name: engine.Group}
		}
		byName[engine.Group].count++
		if !engine.Busy {
			byName[engine.Group].available = append(byName[engine.Group].available, engine)
		}
	}
	groups := slices.Collect(maps.Values(byName))
	for _, group := range groups {
		sortForStage(group.available, otherStage(stage))
	}
	slices.SortFunc(groups, func(a, b *stageGroup) int { return cmp.Compare(a.name, b.name) })
	return groups
}

// largestGroup returns the group with the most engines among those with an available one, or nil. Of equal groups it
// returns the one whose first available engine comes first in the order of changes to a stage.
func largestGroup(groups []*stageGroup, to Stage) *stageGroup {
	var best *stageGroup
	for _, group := range groups {
		if len(group.available) == 0 {
			continue
		}
		if best == nil || group.count > best.count || group.count == best.count && compareForStage(group.available[0], best.available[0], to) < 0 {
			best = group
		}
	}
	return best
}
