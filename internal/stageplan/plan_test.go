package stageplan

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func config() Config {
	return Config{PriorPrefillShare: 0.67, MinChangeInterval: 3 * time.Second}
}

// fleet returns engines in three zones, the first of them prefill engines.
func fleet(total, prefill int) []Engine {
	var engines []Engine
	for index := range total {
		engine := Engine{ID: fmt.Sprintf("e%02d", index), Group: fmt.Sprint("z", index%3), Stage: StageDecode}
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
			decodeZones[engine.Group]++
		}
	}
	require.Len(t, decodeZones, 3, "each zone keeps a decode engine")
}

// Under load only a share of the engines changes at once, and the next ones only after these have had an effect.
func TestChangesUnderLoadAreBoundedAndApart(t *testing.T) {
	plan := New(config())
	engines := fleet(18, 7)
	work := Work{Prefill: 10, Decode: 0.5, Known: true}
	first := plan.Next(0, engines, work)
	require.Len(t, first, 4, "a quarter of the engines")
	apply(engines, first)
	require.Empty(t, plan.Next(time.Second, engines, work), "the last changes must have an effect first")
	require.Empty(t, plan.Next(3*time.Second, engines, work), "the remaining gain is not worth a change")
	require.Equal(t, 11, countPrefill(engines))
}

func TestSteadyMixSettles(t *testing.T) {
	for name, test := range map[string]struct {
		start   int
		work    Work
		prefill int
		changes int
	}{
		"both stages have capacity":      {12, Work{Prefill: 4, Decode: 2, Known: true}, 12, 0},
		"prefill is overloaded":          {9, Work{Prefill: 10.5, Decode: 0.7, Known: true}, 13, 4},
		"prefill is slightly overloaded": {12, Work{Prefill: 9, Decode: 0.7, Known: true}, 12, 0},
		"decode is overloaded":           {12, Work{Prefill: 3, Decode: 5, Known: true}, 8, 4},
		"both stages are overloaded":     {12, Work{Prefill: 12, Decode: 8, Known: true}, 12, 0},
	} {
		t.Run(name, func(t *testing.T) {
			plan := New(config())
			engines := fleet(18, test.start)
			changes := 0
			for second := range 200 {
				next := plan.Next(time.Duration(second)*time.Second, engines, test.work)
				changes += len(next)
				apply(engines, next)
			}
			require.Equal(t, test.prefill, countPrefill(engines))
			require.Equal(t, test.changes, changes)
		})
	}
}

// A mix that swings every few seconds is not followed, since each change costs engine time.
func TestSwingsOfAFewSecondsAreNotChased(t *testing.T) {
	plan := New(config())
	engines := fleet(18, 11)
	changes := 0
	for step := range 240 {
		work := Work{Prefill: 7.5, Decode: 2.5, Known: true}
		if step/6%2 == 1 {
			work = Work{Prefill: 2.5, Decode: 5.5, Known: true}
		}
		next := plan.Next(time.Duration(step)*500*time.Millisecond, engines, work)
		changes += len(next)
		apply(engines, next)
	}
	require.LessOrEqual(t, changes, 8, "in two minutes")
}

func TestIdleTimeKeepsTheStages(t *testing.T) {
	plan := New(config())
	engines := fleet(18, 9)
	plan.Next(0, engines, Work{Prefill: 4, Decode: 3, Known: true})
	for second := range 60 {
		require.Empty(t, plan.Next(time.Duration(second)*time.Second, engines, Work{Known: true}))
	}
}

func TestEachStageKeepsItsMinimum(t *testing.T) {
	for _, work := range []Work{{Prefill: 100, Known: true}, {Decode: 100, Known: true}} {
		plan := New(config())
		engines := fleet(9, 4)
		for second := range 200 {
			apply(engines, plan.Next(time.Duration(second)*time.Second, engines, work))
		}
		prefill := countPrefill(engines)
		require.GreaterOrEqual(t, prefill, 3)
		require.LessOrEqual(t, prefill, 6)
	}
}

func TestBusyEnginesGetNoOrder(t *testing.T) {
	engines := fleet(9, 4)
	for index := range engines {
		engines[index].Busy = true
	}
	require.Empty(t, New(config()).Next(0, engines, Work{}))
}
