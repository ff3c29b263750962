package stageplan

// speedGroup is the engines of one group as seen by changes by speed.
type speedGroup struct {
	name string
	// busy is true if an engine of the group takes no order; the others then wait.
	busy bool
	// keeping counts the decode engines that do not miss the gap.
	keeping int
	// missing are the IDs of the decode engines that miss the gap, replacements those of the prefill engines that are
	// known to keep it.
	missing, replacements []string
}

// add adds an engine to the group.
func (g *speedGroup) add(engine Engine) {
	switch {
	case engine.Busy:
		g.busy = true
	case engine.Stage == StagePrefill && engine.KeepsGap && !engine.MissesGap:
		g.replacements = append(g.replacements, engine.ID)
	case engine.Stage == StageDecode && engine.MissesGap:
		g.missing = append(g.missing, engine.ID)
	case engine.Stage == StageDecode:
		g.keeping++
	}
}
