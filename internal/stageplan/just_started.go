package stageplan

import (
	"cmp"
	"maps"
	"math"
	"slices"
)

// minShortfallShare is the share of a group's engines by which a stage must be short before engines that have just
// started are changed for it. A change makes an engine unavailable for seconds, which costs more than a small shortfall.
const minShortfallShare = 0.3

// groupStageCounts counts the stages of the engines of one group.
type groupStageCounts struct {
	name           string
	total, prefill int
	// justStarted are the engines of each stage that can change at no cost.
	justStarted map[Stage][]Engine
	// hasFasterPrefill is true if a prefill engine that does not miss the gap can take an order.
	hasFasterPrefill bool
}

// placeJustStarted assigns engines that have just started to serve to the stage of which their group is most short, so
// that each group has the same shares of both stages as the whole fleet.
func (p *Plan) placeJustStarted(engines []Engine) []Change {
	share := p.prefillShare(engines)
	var changes []Change
	for _, group := range countStages(engines) {
		wanted := int(math.Round(share * float64(group.total)))
		if group.total > 1 {
			wanted = min(max(wanted, 1), group.total-1)
		}
		shortfall, stage := wanted-group.prefill, StagePrefill
		if shortfall < 0 {
			shortfall, stage = -shortfall, StageDecode
		}
		if float64(shortfall) < minShortfallShare*float64(group.total) {
			continue
		}
		available := placeable(group, stage)
		for _, engine := range available[:min(shortfall, len(available))] {
			changes = append(changes, Change{Engine: engine.ID, Stage: stage, Reason: ByStart})
		}
	}
	return changes
}

// placeable returns the engines of a group that have just started and may change to a stage. Engines that miss the gap
// change to decode only if no other engine of the group can.
func placeable(group *groupStageCounts, stage Stage) []Engine {
	available := group.justStarted[otherStage(stage)]
	if stage == StageDecode && group.hasFasterPrefill {
		available = slices.DeleteFunc(available, func(engine Engine) bool { return engine.MissesGap })
	}
	sortForStage(available, stage)
	return available
}

// prefillShare returns the share of prefill engines among the engines that have served for longer. It returns the prior
// share if there are too few of these.
func (p *Plan) prefillShare(engines []Engine) float64 {
	established := slices.DeleteFunc(slices.Clone(engines), func(engine Engine) bool { return engine.JustStarted })
	if len(established) < 2*minStageEngines {
		return p.config.PriorPrefillShare
	}
	return float64(countPrefill(established)) / float64(len(established))
}

// countStages counts the stages of the groups with engines that have just started, sorted by name.
func countStages(engines []Engine) []*groupStageCounts {
	byName := map[string]*groupStageCounts{}
	for _, engine := range engines {
		group := byName[engine.Group]
		if group == nil {
			group = &groupStageCounts{name: engine.Group, justStarted: map[Stage][]Engine{}}
			byName[engine.Group] = group
		}
		group.total++
		if engine.Stage == StagePrefill {
			group.prefill++
		}
		if engine.JustStarted && !engine.Busy {
			group.justStarted[engine.Stage] = append(group.justStarted[engine.Stage], engine)
		}
		if engine.Stage == StagePrefill && !engine.Busy && !engine.MissesGap {
			group.hasFasterPrefill = true
		}
	}
	maps.DeleteFunc(byName, func(_ string, group *groupStageCounts) bool { return len(group.justStarted) == 0 })
	groups := slices.Collect(maps.Values(byName))
	slices.SortFunc(groups, func(a, b *groupStageCounts) int { return cmp.Compare(a.name, b.name) })
	return groups
}

func otherStage(stage Stage) Stage {
	if stage == StagePrefill {
		return StageDecode
	}
	return StagePrefill
}
