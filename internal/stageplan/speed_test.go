package stageplan

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/hazelpitch/hazelpitch/internal/mechanism"
)

const (
	// planInterval is the time between two calls of Next, and changeTime how long a change takes until it shows.
	planInterval = 500 * time.Millisecond
	changeTime   = 5 * time.Second
)

// speedRun runs a plan in virtual time. Engines that change are busy for changeTime.
type speedRun struct {
	plan      *Plan
	now       time.Duration
	engines   []Engine
	busyUntil map[string]time.Duration
	changes   []Change
}

func newSpeedRun(t require.TestingT, engines []Engine, without ...mechanism.Mechanism) *speedRun {
	names := make([]string, len(without))
	for index, each := range without {
		names[index] = string(each)
	}
	disabled, err := mechanism.Without(names)
	require.NoError(t, err)
	withDisabled := config()
	withDisabled.Without = disabled
	return &speedRun{plan: New(withDisabled), engines: engines, busyUntil: map[string]time.Duration{}}
}

// finishChanges ends the changes that are due.
func (r *speedRun) finishChanges() {
	for index := range r.engines {
		engine := &r.engines[index]
		if until, busy := r.busyUntil[engine.ID]; busy && r.now >= until {
			engine.Busy = false
			delete(r.busyUntil, engine.ID)
		}
	}
}

// step calls Next once and applies its changes.
func (r *speedRun) step(work Work) []Change {
	r.finishChanges()
	changes := r.plan.Next(r.now, r.engines, work)
	for _, change := range changes {
		r.busyUntil[change.Engine] = r.now + changeTime
		r.engine(change.Engine).Stage = change.Stage
		r.engine(change.Engine).Busy = true
	}
	r.changes = append(r.changes, changes...)
	r.now += planInterval
	return changes
}

func (r *speedRun) run(span time.Duration, work Work) {
	for end := r.now + span; r.now < end; {
		r.step(work)
	}
}

func (r *speedRun) engine(id string) *Engine {
	for index := range r.engines {
		if r.engines[index].ID == id {
			return &r.engines[index]
		}
	}
	return nil
}

// count returns the number of engines of a stage, and of those that miss the gap.
func (r *speedRun) count(stage Stage) (total, missing int) {
	for _, engine := range r.engines {
		if engine.Stage == stage {
			total++
			if engine.MissesGap {
				missing++
			}
		}
	}
	return total, missing
}

// unevenFleet returns engines in three groups, the first of them prefill engines; every third engine of each group misses
// the gap.
func unevenFleet(total, prefill int) []Engine {
	engines := fleet(total, prefill)
	for index := range engines {
		engines[index].MissesGap = index/3%3 == 0
		engines[index].KeepsGap = !engines[index].MissesGap
	}
	return engines
}

// A third of the engines takes 1.7 times the usual time. As decode engines they break the gap targets of their streams;
// as prefill engines they serve short prompts in time.
func TestDecodeOnUnevenEngines(t *testing.T) {
	work := Work{Prefill: 20, Decode: 8, Known: true}
	run := newSpeedRun(t, unevenFleet(90, 60))
	run.run(2*time.Minute, work)
	total, missing := run.count(StageDecode)
	require.Zero(t, missing)
	require.Equal(t, minKeepingEngines(90), total)
	for _, change := range run.changes {
		require.Equal(t, BySpeed, change.Reason)
	}

	without := newSpeedRun(t, unevenFleet(90, 60), mechanism.StagesBySpeed)
	without.run(2*time.Minute, work)
	_, missing = without.count(StageDecode)
	require.Equal(t, 9, missing)
	require.Empty(t, without.changes)
}

// An engine is out of service for seconds while it changes, so that engines that move by speed must not take all of a
// group, or much of the fleet, out of service together.
func TestMovesBySpeedAreFewAtATime(t *testing.T) {
	engines := fleet(30, 15)
	for index := range engines {
		engines[index].MissesGap = index >= 23
	}
	run := newSpeedRun(t, engines)
	first := run.step(Work{Prefill: 3, Decode: 1, Known: true})
	require.Len(t, first, 3, "a tenth of the engines")
	groups := map[string]bool{}
	for _, change := range first {
		groups[run.engine(change.Engine).Group] = true
	}
	require.Len(t, groups, 3)
	for run.now < changeTime {
		require.Empty(t, run.step(Work{Prefill: 3, Decode: 1, Known: true}))
	}
	require.NotEmpty(t, run.step(Work{Prefill: 3, Decode: 1, Known: true}))

	crowded := unevenFleet(30, 15)
	for index := range crowded {
		crowded[index].Group = "z0"
	}
	require.Len(t, newSpeedRun(t, crowded).step(Work{Prefill: 3, Decode: 1, Known: true}), 1, "one of a group")
}

// Slow engines keep decoding as long as the others cannot carry the work alone: late events are better than none.
func TestSlowEnginesDecodeWhileTheyAreNeeded(t *testing.T) {
	engines := unevenFleet(90, 60)
	for index := range engines {
		engines[index].KeepsGap = false // nothing is known of replacements
	}
	run := newSpeedRun(t, engines)
	run.run(time.Minute, Work{Prefill: 20, Decode: 17, Known: true})
	require.Empty(t, run.changes, "21 engines carry less than 17 at decodeUtilisation")
}

// Where the decode engines that keep the gap do not suffice, prefill engines that are known to keep it first take the
// places of those that miss it.
func TestFastPrefillEnginesReplaceSlowDecodeEngines(t *testing.T) {
	run := newSpeedRun(t, unevenFleet(90, 60))
	run.run(3*time.Minute, Work{Prefill: 20, Decode: 17, Known: true})
	total, missing := run.count(StageDecode)
	require.Zero(t, missing)
	require.Equal(t, 25, total, "17 at decodeUtilisation")
	require.Equal(t, StageDecode, run.changes[0].Stage)

	busyPrefill := newSpeedRun(t, unevenFleet(90, 60))
	busyPrefill.run(3*time.Minute, Work{Prefill: 35, Decode: 17, Known: true})
	require.Empty(t, busyPrefill.changes, "the prefill engines cannot spare any")
}

// The relay that owns a cell needs a decode engine of that cell that keeps the gap.
func TestAGroupKeepsADecodeEngineThatKeepsTheGap(t *testing.T) {
	engines := fleet(18, 9)
	for index := range engines {
		engines[index].MissesGap = engines[index].Group == "z0" && engines[index].Stage == StageDecode
		engines[index].KeepsGap = !engines[index].MissesGap
	}
	run := newSpeedRun(t, engines)
	first := run.step(Work{Prefill: 2, Decode: 1, Known: true})
	require.Equal(t, []Change{{Engine: "e00", Stage: StageDecode, Reason: BySpeed}}, first)
	run.run(time.Minute, Work{Prefill: 2, Decode: 1, Known: true})
	_, missing := run.count(StageDecode)
	require.Zero(t, missing)

	for index := range engines {
		engines[index] = fleet(18, 9)[index]
		engines[index].MissesGap = engines[index].Group == "z0"
	}
	run = newSpeedRun(t, engines)
	run.run(time.Minute, Work{Prefill: 2, Decode: 1, Known: true})
	require.Empty(t, run.changes, "no engine of the group is known to keep the gap")
}

// Engines that were moved by speed left less than the minimum share of decode engines. The next change under load brought
// decode engines up to that share again, and so undid the moves, instead of as many as the work required.
func TestMovesBySpeedAreNotUndoneForTheMinimumShare(t *testing.T) {
	run := newSpeedRun(t, unevenFleet(90, 70))
	run.run(time.Minute, Work{Prefill: 20, Decode: 6, Known: true})
	total, missing := run.count(StageDecode)
	require.Zero(t, missing)
	require.Equal(t, 23, total, "the minimum share is 27")
	require.Equal(t, 23, run.plan.minDecodeEngines(90), "the moved engines are not missing")
	require.Equal(t, 27, newSpeedRun(t, unevenFleet(90, 70), mechanism.StagesBySpeed).plan.minDecodeEngines(90))
	run.run(time.Minute, Work{Prefill: 30, Decode: 17, Known: true})
	total, _ = run.count(StageDecode)
	require.Equal(t, 23, total)
}

// The engines that were moved stay known as slow when the reports of speeds stop. Otherwise later changes under load would
// choose them before others.
func TestMovesBySpeedAreNotUndoneWhenReportsStop(t *testing.T) {
	engines := unevenFleet(18, 0)
	for index := range engines {
		if index >= 9 {
			engines[index].Stage = StagePrefill
		}
	}
	run := newSpeedRun(t, engines)
	run.run(time.Minute, Work{Prefill: 2, Decode: 1, Known: true})
	moved := map[string]bool{}
	for _, change := range run.changes {
		moved[change.Engine] = true
	}
	require.Len(t, moved, 3)
	for index := range run.engines {
		run.engines[index].MissesGap, run.engines[index].KeepsGap = false, false
	}
	run.changes = nil
	run.run(time.Minute, Work{Prefill: 2, Decode: 7, Known: true})
	require.NotEmpty(t, run.changes)
	for _, change := range run.changes {
		require.Equal(t, StageDecode, change.Stage)
		require.False(t, moved[change.Engine], "%v", change)
	}
}

// When the work swings, engines that were moved by speed must not move back and forth.
func TestMovesBySpeedAreNotRepeated(t *testing.T) {
	run := newSpeedRun(t, unevenFleet(90, 62))
	for step := range 2400 {
		work := Work{Prefill: 15 + float64(step%90)/3, Decode: 3 + float64(step%13), Known: true}
		if step%400 > 380 {
			work = Work{Known: true} // idle
		}
		run.step(work)
	}
	moves := map[string]int{}
	for _, change := range run.changes {
		moves[change.Engine]++
	}
	for engine, count := range moves {
		require.LessOrEqual(t, count, 1, engine)
	}
}

// A change to decode under load that follows at once after a move by speed is no reversal of it.
func TestMovesBySpeedDoNotDelayChangesUnderLoad(t *testing.T) {
	run := newSpeedRun(t, unevenFleet(18, 9))
	require.NotEmpty(t, run.step(Work{Prefill: 2, Decode: 1, Known: true}))
	for range 20 {
		for _, change := range run.step(Work{Prefill: 2, Decode: 12, Known: true}) {
			if change.Reason == ByLoad {
				require.Equal(t, StageDecode, change.Stage)
				require.Less(t, run.now, 3*time.Second)
				return
			}
		}
	}
	t.Fatal("no change under load")
}

// Decode engines that were added under load stay for a while when the work falls, also those that miss the gap.
func TestMovesBySpeedDoNotReverseChangesUnderLoad(t *testing.T) {
	engines := unevenFleet(18, 12)
	for index := range engines {
		engines[index].MissesGap = engines[index].MissesGap || engines[index].Stage == StagePrefill
		engines[index].KeepsGap = !engines[index].MissesGap
	}
	run := newSpeedRun(t, engines)
	first := run.step(Work{Prefill: 2, Decode: 9, Known: true})
	require.NotEmpty(t, first)
	require.Equal(t, ByLoad, first[0].Reason)
	turnBack := turnBackIntervals * run.plan.config.MinChangeInterval
	for run.now < turnBack {
		require.Empty(t, run.step(Work{Prefill: 2, Decode: 0.1, Known: true}))
	}
	next := run.step(Work{Prefill: 2, Decode: 0.1, Known: true})
	require.NotEmpty(t, next)
	require.Equal(t, BySpeed, next[0].Reason)
}

// A change of the mix must not send engines to decode whose streams would then be late, as long as there are others.
func TestChangesUnderLoadGoBySpeed(t *testing.T) {
	run := newSpeedRun(t, unevenFleet(18, 12))
	run.run(2*planInterval, Work{Prefill: 2, Decode: 9, Known: true})
	require.NotEmpty(t, run.changes)
	for _, change := range run.changes {
		require.Equal(t, Change{Engine: change.Engine, Stage: StageDecode, Reason: ByLoad}, change)
		require.False(t, run.engine(change.Engine).MissesGap)
	}

	run = newSpeedRun(t, unevenFleet(18, 6))
	run.run(2*planInterval, Work{Prefill: 9, Decode: 1, Known: true})
	require.NotEmpty(t, run.changes)
	for _, change := range run.changes[:3] {
		require.Equal(t, StagePrefill, change.Stage)
		require.True(t, run.engine(change.Engine).MissesGap)
	}
}

// Engines that have just started change for free, but one that misses the gap must not become a decode engine for that.
func TestJustStartedSlowEnginesDoNotDecode(t *testing.T) {
	for _, missesGap := range []bool{false, true} {
		engines := fleet(30, 12)
		for index := range engines {
			if engines[index].Group == "z1" && index < 24 {
				engines[index].Stage = StagePrefill
				engines[index].JustStarted = index >= 12
				engines[index].MissesGap = missesGap && engines[index].JustStarted
			}
		}
		changes := newSpeedRun(t, engines).step(Work{Prefill: 6, Decode: 4, Known: true})
		require.Equal(t, missesGap, len(changes) == 0)
	}
}

// A crash of a whole group must leave engines of both stages that keep the gap, and the plan must bring others.
func TestACrashLeavesEnginesOfBothStages(t *testing.T) {
	for crashed := range 3 {
		run := newSpeedRun(t, unevenFleet(27, 16))
		work := Work{Prefill: 6, Decode: 2, Known: true}
		run.run(time.Minute, work)
		var left []Engine
		for _, engine := range run.engines {
			if engine.Group != fmt.Sprint("z", crashed) {
				left = append(left, engine)
			}
		}
		run.engines = left
		prefill, _ := run.count(StagePrefill)
		decode, missing := run.count(StageDecode)
		require.GreaterOrEqual(t, prefill, minStageEngines)
		require.GreaterOrEqual(t, decode-missing, minStageEngines)
		run.run(time.Minute, Work{Prefill: 3, Decode: 6, Known: true})
		decode, _ = run.count(StageDecode)
		require.GreaterOrEqual(t, float64(decode)*decodeUtilisation, 6.0)
	}
}

// drawWork draws work for a fleet.
func drawWork(t *rapid.T, engines int) Work {
	return Work{
		Prefill: rapid.Float64Range(0, float64(engines)).Draw(t, "prefill work"),
		Decode:  rapid.Float64Range(0, float64(engines)/2).Draw(t, "decode work"),
		Known:   rapid.IntRange(0, 9).Draw(t, "known") > 0,
	}
}

// drawFleet draws engines in a few groups.
func drawFleet(t *rapid.T) []Engine {
	engines := make([]Engine, rapid.IntRange(1, 40).Draw(t, "engines"))
	groups := rapid.IntRange(1, 5).Draw(t, "groups")
	for index := range engines {
		engines[index] = Engine{
			ID: fmt.Sprintf("e%02d", index), Group: fmt.Sprint("g", rapid.IntRange(0, groups-1).Draw(t, "group")),
			Stage: Stage(rapid.IntRange(0, 1).Draw(t, "stage")), JustStarted: rapid.IntRange(0, 9).Draw(t, "just started") == 0,
		}
	}
	return engines
}

// Even engines, whatever is known of them, get the same plan as before the plan knew speeds.
func TestEvenEnginesArePlannedAsBefore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		engines := drawFleet(t)
		missesGap := rapid.Bool().Draw(t, "all miss the gap")
		known := rapid.Bool().Draw(t, "speeds are known")
		even := make([]Engine, len(engines))
		for index, engine := range engines {
			even[index] = engine
			even[index].MissesGap = missesGap
			even[index].KeepsGap = known && !missesGap
		}
		with, without := newSpeedRun(t, even), newSpeedRun(t, engines, mechanism.StagesBySpeed)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			work := drawWork(t, len(engines))
			require.Equal(t, without.step(work), with.step(work))
		}
	})
}

// Whatever engines and work there are, changes by speed keep to their limits.
func TestMovesBySpeedKeepToTheirLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		engines := drawFleet(t)
		for index := range engines {
			known := rapid.IntRange(0, 3).Draw(t, "known") > 0
			engines[index].MissesGap = known && rapid.Bool().Draw(t, "misses the gap")
			engines[index].KeepsGap = known && !engines[index].MissesGap
		}
		run := newSpeedRun(t, engines)
		work := drawWork(t, len(engines))
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			if rapid.IntRange(0, 19).Draw(t, "work changes") == 0 {
				work = drawWork(t, len(engines))
			}
			run.finishChanges()
			before := slices.Clone(run.engines)
			checkMoves(t, run, before, run.step(work))
		}
	})
}

// checkMoves checks the changes of one step against the engines before it.
func checkMoves(t *rapid.T, run *speedRun, before []Engine, changes []Change) {
	if len(changes) == 0 || changes[0].Reason != BySpeed {
		return
	}
	earlier := &speedRun{engines: before}
	if !run.plan.work.Known {
		checkIdleExchanges(t, earlier, changes)
		return
	}
	busy := 0
	changing, keeping := map[string]int{}, map[string]int{}
	for _, engine := range before {
		if engine.Busy {
			busy++
			changing[engine.Group]++
		} else if engine.Stage == StageDecode && !engine.MissesGap {
			keeping[engine.Group]++
		}
	}
	total := 0
	for _, count := range keeping {
		total += count
	}
	require.LessOrEqual(t, busy+len(changes), max(len(before)/10, 1))
	for _, change := range changes {
		engine := earlier.engine(change.Engine)
		changing[engine.Group]++
		require.Equal(t, 1, changing[engine.Group], "one engine of a group")
		if change.Stage == StageDecode {
			require.True(t, engine.KeepsGap)
			continue
		}
		require.True(t, engine.MissesGap)
		require.Positive(t, keeping[engine.Group])
		require.GreaterOrEqual(t, total, max(minStageEngines, minKeepingEngines(len(before))))
		require.LessOrEqual(t, run.plan.work.Decode, decodeUtilisation*float64(total))
	}
}

// checkIdleExchanges checks changes before any work is known: each engine that misses the gap is replaced by one of its
// group that keeps it, so that the groups have as many engines of both stages as before.
func checkIdleExchanges(t *rapid.T, earlier *speedRun, changes []Change) {
	balance, changed := map[string]int{}, map[string]bool{}
	for _, change := range changes {
		engine := earlier.engine(change.Engine)
		require.False(t, engine.Busy)
		require.False(t, changed[engine.ID], "an engine changes once")
		changed[engine.ID] = true
		require.NotEqual(t, engine.Stage, change.Stage)
		if change.Stage == StageDecode {
			require.True(t, engine.KeepsGap)
			balance[engine.Group]++
		} else {
			require.True(t, engine.MissesGap)
			balance[engine.Group]--
		}
	}
	for group, difference := range balance {
		require.Zero(t, difference, group)
	}
}

// Before any work is known, engines have no caches and run nothing, so that all slow decode engines change places with
// fast prefill engines of their groups at once. Guards against a fleet whose first streams pause for as long as it takes to
// move slow engines one by one, and against exchanges by a plan that knows of work.
func TestIdleEnginesChangePlacesAtOnce(t *testing.T) {
	fleet := func() []Engine {
		var engines []Engine
		for _, group := range []string{"a", "b"} {
			for number := range 4 {
				engines = append(engines,
					Engine{ID: fmt.Sprintf("%s-slow-%d", group, number), Group: group, Stage: StageDecode, MissesGap: true},
					Engine{ID: fmt.Sprintf("%s-fast-%d", group, number), Group: group, Stage: StagePrefill, KeepsGap: true})
			}
		}
		return engines
	}
	idle := newSpeedRun(t, fleet())
	idle.run(2*changeTime, Work{}) // the prior share first, then the exchanges
	_, missing := idle.count(StageDecode)
	require.Zero(t, missing)
	ordered := len(idle.changes)
	idle.run(time.Minute, Work{})
	require.Len(t, idle.changes, ordered, "they change once")

	off := newSpeedRun(t, fleet(), mechanism.StagesBySpeed)
	off.run(time.Minute, Work{})
	_, missing = off.count(StageDecode)
	require.Positive(t, missing)
	busy := newSpeedRun(t, fleet())
	require.LessOrEqual(t, len(busy.step(Work{Prefill: 2, Decode: 2, Known: true})), 1, "a tenth of the engines at once")
}

// Until the work is known, as much of the engines' speed decodes as the prior share says, not as many engines: guards
// against fast engines that idle as decode engines while prompts queue at the others.
func TestPriorShareCountsSpeed(t *testing.T) {
	even := unevenFleet(90, 31)
	for index := range even {
		even[index].StepTime = 5 * time.Millisecond
	}
	plan := New(config())
	require.Equal(t, plan.priorPrefill(unevenFleet(90, 31)), plan.priorPrefill(even))
	uneven := unevenFleet(90, 31)
	for index := range uneven {
		uneven[index].StepTime = 3500 * time.Microsecond
		if uneven[index].MissesGap {
			uneven[index].StepTime = 8500 * time.Microsecond
		}
	}
	require.Equal(t, 60, plan.priorPrefill(even))
	require.Equal(t, 65, plan.priorPrefill(uneven), "25 fast engines decode as much as 30 of average speed")
	require.Equal(t, 60, newSpeedRun(t, uneven, mechanism.StagesBySpeed).plan.priorPrefill(uneven))
	uneven[0].StepTime = 0
	require.Equal(t, 60, plan.priorPrefill(uneven), "the speed of one engine is unknown")
}
