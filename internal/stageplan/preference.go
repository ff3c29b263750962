package stageplan

import (
	"cmp"
	"slices"
)

// sortForStage sorts engines into the order in which they change to a stage.
func sortForStage(engines []Engine, to Stage) {
	slices.SortFunc(engines, func(a, b Engine) int { return compareForStage(a, b, to) })
}

// compareForStage orders engines by how suitable they are for a stage, and equal ones by their IDs. Engines that miss the
// gap are the first to prefill and the last to decode.
func compareForStage(a, b Engine, to Stage) int {
	if a.MissesGap != b.MissesGap {
		if a.MissesGap == (to == StagePrefill) {
			return -1
		}
		return 1
	}
	return cmp.Compare(a.ID, b.ID)
}
