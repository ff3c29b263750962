package stageplan

import (
	"cmp"
	"maps"
	"slices"
)

// speedFleet is a service's engines as seen by changes by speed.
type speedFleet struct {
	// busy are the engines that take no order, in all groups.
	busy int
	// keeping are the decode engines that serve and do not miss the gap; arriving are those that are still changing to
	// decode or take no order for another reason.
	keeping, arriving int
	// prefill are the prefill engines that serve.
	prefill int
	// movable are the groups in which an engine may move, those with the most decode engines that miss the gap first.
	movable []*speedGroup
}

// newSpeedFleet counts the engines and sorts the groups.
func newSpeedFleet(engines []Engine) speedFleet {
	fleet := speedFleet{}
	byName := map[string]*speedGroup{}
	for _, engine := range engines {
		group := byName[engine.Group]
		if group == nil {
			group = &speedGroup{name: engine.Group}
			byName[engine.Group] = group
		}
		group.add(engine)
		switch {
		case engine.Busy:
			fleet.busy++
			if engine.Stage == StageDecode && !engine.MissesGap {
				fleet.arriving++
			}
		case engine.Stage == StagePrefill:
			fleet.prefill++
		case !engine.MissesGap:
			fleet.keeping++
		}
	}
	for _, group := range byName {
		slices.Sort(group.missing)
		slices.Sort(group.replacements)
	}
	maps.DeleteFunc(byName, func(_ string, group *speedGroup) bool { return group.busy || len(group.missing) == 0 })
	fleet.movable = slices.SortedFunc(maps.Values(byName), func(a, b *speedGroup) int {
		return cmp.Or(cmp.Compare(len(b.missing), len(a.missing)), cmp.Compare(a.name, b.name))
	})
	return fleet
}

// moves returns one change for each group that allows one: an engine that misses the gap moves to prefill if another
// engine of its group keeps the gap, and otherwise one of spare prefill engines moves to decode in exchange.
func (f speedFleet) moves(spare int, toPrefill bool) []Change {
	var changes []Change
	for _, group := range f.movable {
		switch {
		case group.keeping > 0 && toPrefill:
			changes = append(changes, Change{Engine: group.missing[0], Stage: StagePrefill})
		case group.keeping == 0 && len(group.replacements) > 0 && spare > 0:
			changes = append(changes, Change{Engine: group.replacements[0], Stage: StageDecode})
			spare--
		}
	}
	return changes
}

// exchanges returns changes of prefill engines that keep the gap to decode, at most one for each group, until the
// shortfall of decode engines is made up. If the replacements or the spare prefill engines do not suffice for all of it,
// none changes, since no engine that misses the gap could move afterwards.
func (f speedFleet) exchanges(shortfall, spare int) []Change {
	replacements := 0
	for _, group := range f.movable {
		replacements += len(group.replacements)
	}
	if shortfall > min(replacements, spare) {
		return nil
	}
	var changes []Change
	for _, group := range f.movable {
		if len(changes) < shortfall && len(group.replacements) > 0 {
			changes = append(changes, Change{Engine: group.replacements[0], Stage: StageDecode})
		}
	}
	return changes
}

// idleExchanges returns changes by which engines of one group that miss the gap and engines that keep it change places.
// Idle engines have no caches to lose and no requests to delay, so that all of them change at once.
func (f speedFleet) idleExchanges() []Change {
	var changes []Change
	for _, group := range f.movable {
		for index := range min(len(group.missing), len(group.replacements)) {
			changes = append(changes, Change{Engine: group.replacements[index], Stage: StageDecode}, Change{Engine: group.missing[index], Stage: StagePrefill})
		}
	}
	return changes
}
