package stageplan

import (
	"cmp"
	"maps"
	"math"
	"slices"
)

// leastLack is the part of a group's engines by which a stage must have too few before fresh ones are
// changed for it: each is away for seconds, which costs more than a small lack.
const leastLack = 0.3

// groupStages counts the stages of the engines of one group.
type groupStages struct {
	name           string
	total, prefill int
	// fresh are the engines of each stage that may change at no cost, by identity.
	fresh map[Stage][]string
}

// placeFresh gives engines that have just begun to serve the stage that their group lacks most, so that
// each group has the part of both stages that all engines have.
func (p *Plan) placeFresh(engines []Engine) []Change {
	share := p.prefillShare(engines)
	var changes []Change
	for _, group := range countStages(engines) {
		wanted := int(math.Round(share * float64(group.total)))
		if group.total > 1 {
			wanted = min(max(wanted, 1), group.total-1)
		}
		lacks, stage := wanted-group.prefill, StagePrefill
		if lacks < 0 {
			lacks, stage = -lacks, StageDecode
		}
		if float64(lacks) < leastLack*float64(group.total) {
			continue
		}
		free := group.fresh[other(stage)]
		for _, engine := range free[:min(lacks, len(free))] {
			changes = append(changes, Change{Engine: engine, Stage: stage})
		}
	}
	return changes
}

// prefillShare is the part of the engines that serve for longer which read prompts, or the prior one
// where there are none.
func (p *Plan) prefillShare(engines []Engine) float64 {
	settled := slices.DeleteFunc(slices.Clone(engines), func(engine Engine) bool { return engine.JustStarted })
	if len(settled) < 2*leastEngines {
		return p.config.PriorPrefillShare
	}
	return float64(countPrefill(settled)) / float64(len(settled))
}

// countStages counts the stages of groups that have fresh engines, by name.
func countStages(engines []Engine) []*groupStages {
	byName := map[string]*groupStages{}
	for _, engine := range engines {
		group := byName[engine.Group]
		if group == nil {
			group = &groupStages{name: engine.Group, fresh: map[Stage][]string{}}
			byName[engine.Group] = group
		}
		group.total++
		if engine.Stage == StagePrefill {
			group.prefill++
		}
		if engine.JustStarted && !engine.Busy {
			group.fresh[engine.Stage] = append(group.fresh[engine.Stage], engine.ID)
		}
	}
	maps.DeleteFunc(byName, func(_ string, group *groupStages) bool { return len(group.fresh) == 0 })
	groups := slices.Collect(maps.Values(byName))
	for _, group := range groups {
		slices.Sort(group.fresh[StagePrefill])
		slices.Sort(group.fresh[StageDecode])
	}
	slices.SortFunc(groups, func(a, b *groupStages) int { return cmp.Compare(a.name, b.name) })
	return groups
}

func other(stage Stage) Stage {
	if stage == StagePrefill {
		return StageDecode
	}
	return StagePrefill
}
