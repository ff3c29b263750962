package stageplan

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/hazelpitch/hazelpitch/internal/mechanism"
)

const (
	// maxSpeedMoveShare is the share of the engines that may be out of service for changes when engines move by speed. A
	// change takes seconds, and the engine's cache is lost for its former stage.
	maxSpeedMoveShare = 0.1
	// minKeepingShare is the share of the engines that must remain decode engines that do not miss the gap, so that enough
	// of them are left after a crash, and when all clients of an outage return at once.
	minKeepingShare = 0.25
)

// withSpeeds returns the engines with the speeds that the plan goes by. Engines that were moved by speed count as
// missing the gap until they are known to keep it, so that they stay moved when reports of speeds stop.
func (p *Plan) withSpeeds(engines []Engine) []Engine {
	p.forgetMoved(engines)
	planned := slices.Clone(engines)
	for index := range planned {
		engine := &planned[index]
		if !p.config.Without.IsEnabled(mechanism.StagesBySpeed) {
			engine.MissesGap, engine.KeepsGap = false, false
		} else if p.movedBySpeed[engine.ID] && !engine.KeepsGap {
			engine.MissesGap = true
		}
	}
	return planned
}

// forgetMoved drops moved engines that are no longer listed or that decode again.
func (p *Plan) forgetMoved(engines []Engine) {
	prefill := make(map[string]bool, len(engines))
	for _, engine := range engines {
		if engine.Stage == StagePrefill {
			prefill[engine.ID] = true
		}
	}
	maps.DeleteFunc(p.movedBySpeed, func(id string, _ bool) bool { return !prefill[id] })
}

// minDecodeEngines returns the number of engines that keep decoding. Engines that were moved by speed do not count as
// missing decode engines.
func (p *Plan) minDecodeEngines(total int) int {
	minimum := p.minEngines(total)
	return min(minimum, max(minimum-len(p.movedBySpeed), minKeepingEngines(total)))
}

// minKeepingEngines returns the number of decode engines that must not miss the gap before others of total engines move
// by speed.
func minKeepingEngines(total int) int {
	return max(minStageEngines, int(math.Ceil(minKeepingShare*float64(total))))
}

// changesBySpeed moves decode engines that miss the gap to prefill, while the decode engines that remain suffice without
// them. Where they do not, prefill engines that keep the gap first move to decode. These changes do not delay later
// changes under load. Before any work is known, engines that miss the gap and engines that keep it change places.
func (p *Plan) changesBySpeed(now time.Duration, engines []Engine, work Work) []Change {
	if !p.config.Without.IsEnabled(mechanism.StagesBySpeed) {
		return nil
	}
	fleet := newSpeedFleet(engines)
	if !p.work.Known {
		return p.recordMoves(fleet.idleExchanges())
	}
	if !work.Known {
		return nil
	}
	limit := p.maxSpeedMoves(len(engines)) - fleet.busy
	if limit <= 0 || len(fleet.movable) == 0 {
		return nil
	}
	spare := p.sparePrefill(fleet.prefill, len(engines))
	required := max(minKeepingEngines(len(engines)), int(math.Ceil(p.work.Decode/decodeUtilisation)))
	var changes []Change
	if fleet.keeping < required {
		changes = fleet.exchanges(required-fleet.keeping-fleet.arriving, spare)
	} else {
		changes = fleet.moves(spare, !p.reversesRecentChange(now, StagePrefill))
	}
	return p.recordMoves(changes[:min(limit, len(changes))])
}

// recordMoves marks changes as changes by speed, and records the engines that move to prefill.
func (p *Plan) recordMoves(changes []Change) []Change {
	for _, change := range changes {
		if change.Stage == StagePrefill {
			p.movedBySpeed[change.Engine] = true
		}
	}
	return withReason(changes, BySpeed)
}

// maxSpeedMoves returns the number of total engines that may be out of service when engines move by speed.
func (p *Plan) maxSpeedMoves(total int) int {
	if !p.config.Without.IsEnabled(mechanism.ConcurrentChanges) {
		return 1
	}
	return max(int(maxSpeedMoveShare*float64(total)), 1)
}

// sparePrefill returns how many of the prefill engines may leave before others replace them.
func (p *Plan) sparePrefill(prefill, total int) int {
	required := max(p.minEngines(total), int(math.Ceil(p.work.Prefill/prefillUtilisation)))
	return max(prefill-required, 0)
}
