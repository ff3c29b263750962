package stageplan

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func config() Config {
	return Config{PriorPrefillShare: 0.67, Hold: 3 * time.Second, Deadband: 1}
}

// fleet returns engines in three zones, the first ones reading prompts.
func fleet(total, prefill int) []Engine {
	var engines []Engine
	for index := range total {
		engine := Engine{ID: fmt.Sprintf("e%02d", index), Zone: fmt.Sprint("z", index%3), Slots: 64, Stage: StageDecode}
		if index < prefill {
			engine.Stage = StagePrefill
		}
		engines = append(engines, engine)
	}
	return engines
}

func apply(engines []Engine, changes []Change) {
	for _, change := range changes {
		for index := range engines {
			if engines[index].ID == change.Engine {
				engines[index].Stage = change.Stage
			}
		}
	}
}

func TestPriorIsReachedAtOnceWhileIdle(t *testing.T) {
	engines := fleet(9, 4)
	changes := New(config()).Next(0, engines, Work{})
	require.Len(t, changes, 2)
	apply(engines, changes)
	decodeZones := map[string]int{}
	for _, engine := range engines {
		if engine.Stage == StageDecode {
			decodeZones[engine.Zone]++
		}
	}
	require.Len(t, decodeZones, 3, "each zone keeps an engine that generates")
}

func TestOneChangeAtATimeUnderLoad(t *testing.T) {
	plan := New(config())
	engines := fleet(18, 7)
	work := Work{Prompts: 14, Streams: 32, Known: true}
	first := plan.Next(0, engines, work)
	require.Len(t, first, 1)
	apply(engines, first)
	require.Empty(t, plan.Next(time.Second, engines, work), "the last change has to show first")
	require.Len(t, plan.Next(3*time.Second, engines, work), 1)
}

func TestSteadyMixSettles(t *testing.T) {
	plan := New(config())
	engines := fleet(18, 7)
	work := Work{Prompts: 7, Streams: 32, Known: true}
	changes := 0
	for second := range 200 {
		next := plan.Next(time.Duration(second)*time.Second, engines, work)
		changes += len(next)
		apply(engines, next)
	}
	prefill, _ := countPrefill(engines)
	require.Equal(t, 14, prefill)
	require.Equal(t, 7, changes)
}

func TestEachStageKeepsTwoEngines(t *testing.T) {
	for _, work := range []Work{{Prompts: 100, Known: true}, {Streams: 1000, Known: true}} {
		plan := New(config())
		engines := fleet(9, 4)
		for second := range 200 {
			apply(engines, plan.Next(time.Duration(second)*time.Second, engines, work))
		}
		prefill, _ := countPrefill(engines)
		require.GreaterOrEqual(t, prefill, 2)
		require.LessOrEqual(t, prefill, 7)
	}
}

func TestBusyEnginesGetNoOrder(t *testing.T) {
	engines := fleet(9, 4)
	for index := range engines {
		engines[index].Busy = true
	}
	require.Empty(t, New(config()).Next(0, engines, Work{}))
}
