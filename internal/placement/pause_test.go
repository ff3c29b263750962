package placement

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/internal/mechanism"
	"github.com/hazelpitch/hazelpitch/internal/serving"
)

const (
	testGap    = 200 * time.Millisecond
	testStride = 9
)

// without returns the default parameters with one mechanism switched off.
func without(t *testing.T, name mechanism.Mechanism) Parameters {
	t.Helper()
	disabled, err := mechanism.Without([]string{string(name)})
	require.NoError(t, err)
	return DefaultParameters().Without(disabled)
}

// unevenDecodeEngine returns a decode engine at which work takes the given multiple of the usual time, and up to 2.5
// times as long as that while it is slowed down.
func unevenDecodeEngine(hash uint64, relativeTime float64, streams int) Engine {
	return Engine{
		Hash: hash, Zone: "a", Stage: serving.StageDecode, Slots: 64, Work: Work{Streams: streams},
		PerToken: scale(20*time.Microsecond, relativeTime), StepTime: scale(5*time.Millisecond, relativeTime), Slowdown: 1, PeakSlowdown: 2.5,
	}
}

// streamRequest returns a request of which so many tokens must be prefilled at the decode engine; 0 if the prompt has been
// prefilled elsewhere.
func streamRequest(tokens int) Request {
	request := Request{
		Stage: serving.StageDecode, Zone: "a", Gap: testGap, Stride: testStride, Tokens: tokens,
		Target: 400 * time.Millisecond, TimeLeft: 6 * time.Second, UncachedShare: 0.5,
	}
	if tokens > 0 {
		request.Prompt = []PrefixBlock{{Hash: 1, Tokens: tokens}}
	}
	return request
}

// Guards against streams on engines that exceed the gap target once they are slowed down: fast engines are preferred
// although more streams run there, and slow ones serve when there is no other.
func TestStreamsRunWhereTheyKeepTheirGapTarget(t *testing.T) {
	engines := []Engine{unevenDecodeEngine(1, 1.8, 0), unevenDecodeEngine(2, 0.7, 20)}
	chosen := DefaultParameters().PickBackEnd(streamRequest(0), engines, rand.Float64)
	require.Equal(t, 1, chosen.Index)
	require.Equal(t, PauseKept, chosen.Pause)
	require.Equal(t, 0, without(t, mechanism.PausePrediction).PickBackEnd(streamRequest(0), engines, rand.Float64).Index)

	engines[1].Closed = true
	chosen = DefaultParameters().PickBackEnd(streamRequest(0), engines, rand.Float64)
	require.Equal(t, 0, chosen.Index)
	require.Equal(t, PauseAtRisk, chosen.Pause)
	engines[0].Slowdown = 2.5
	require.Equal(t, PauseBroken, DefaultParameters().PickBackEnd(streamRequest(0), engines, rand.Float64).Pause)
}

// An engine that slows down for 200 ms gets no new streams and prompts during that time, and as many as others afterwards.
func TestEngineIsAvoidedWhileItIsSlowedDown(t *testing.T) {
	choose := func(slowdown float64) int {
		slowed, other := unevenDecodeEngine(1, 1.7, 4), unevenDecodeEngine(2, 1.7, 6)
		slowed.PeakSlowdown, other.PeakSlowdown = 1, 1
		slowed.Slowdown = slowdown
		return DefaultParameters().PickBackEnd(streamRequest(0), []Engine{slowed, other}, rand.Float64).Index
	}
	require.Equal(t, 0, choose(1))
	require.Equal(t, 1, choose(2.7))
	require.Equal(t, 0, choose(1))
}

// prefillsThatBreakPauses places prompts one after the other at decode engines with running streams, some of which are
// slowed down, beside idle prefill engines. It returns how many prompts were prefilled between steps that became too long.
func prefillsThatBreakPauses(parameters Parameters) (broken, direct int) {
	random := rand.New(rand.NewPCG(5, 6))
	for range 500 {
		engines := []Engine{{Hash: 9, Zone: "a", Stage: serving.StagePrefill, PerToken: 80 * time.Microsecond}}
		for hash := range uint64(4) {
			engine := unevenDecodeEngine(hash, 0.7, 4+random.IntN(8))
			engine.Work.Tokens[0] = random.IntN(3) * 1_000
			if random.IntN(4) > 0 {
				engine.Slowdown = 2.5
			}
			engines = append(engines, engine)
		}
		decision := parameters.PlacePrefill(streamRequest(500+random.IntN(1_500)), engines, random.Float64)
		if decision.Action != PrefillOnDecodeEngine {
			continue
		}
		direct++
		chosen := engines[decision.Engine.Index]
		chunks := (chosen.Work.PromptTokens() + decision.Engine.EffectiveTokens + 511) / 512
		step := chosen.StepTime + 2*512*chosen.PerToken
		pause := time.Duration(min(chunks, testStride))*step + time.Duration(max(testStride-chunks, 0))*chosen.StepTime
		if scale(pause, chosen.Slowdown) > testGap {
			broken++
		}
	}
	return broken, direct
}

// Guards against prompts between the steps of running streams that exceed their gap target because of it.
func TestPromptsBetweenTheStepsOfRunningStreams(t *testing.T) {
	broken, direct := prefillsThatBreakPauses(DefaultParameters())
	require.Zero(t, broken)
	require.Greater(t, direct, 200, "prompts that break no pause are prefilled by decode engines")
	broken, _ = prefillsThatBreakPauses(without(t, mechanism.PausePrediction))
	require.Greater(t, broken, 50)
}

// longPromptsInTime sends short and long prompts to uneven prefill engines and returns the share of the long ones, and of
// the short ones, that are prefilled within their targets. Engines prefill one prompt after the other.
func longPromptsInTime(parameters Parameters, relativeTimes []float64) (long, short float64) {
	random := rand.New(rand.NewPCG(7, 8))
	engines := make([]Engine, len(relativeTimes))
	freeAt := make([]time.Duration, len(relativeTimes))
	average := time.Duration(0)
	for index, relativeTime := range relativeTimes {
		engines[index] = Engine{Hash: uint64(index), Zone: "a", Stage: serving.StagePrefill, PerToken: scale(20*time.Microsecond, relativeTime)}
		average += engines[index].PerToken / time.Duration(len(relativeTimes))
	}
	const prompts, longTokens, shortTokens = 4_000, 14_000, 5_000
	counts, inTime := map[int]float64{}, map[int]float64{}
	now := time.Duration(0)
	for range prompts {
		now += time.Duration(random.ExpFloat64() * float64(26*time.Millisecond))
		tokens, target := shortTokens, 500*time.Millisecond
		if random.IntN(3) == 0 {
			tokens, target = longTokens, 600*time.Millisecond
		}
		for index := range engines {
			waiting := max(freeAt[index]-now, 0)
			engines[index].Work = PrefillWork(int(waiting/engines[index].PerToken), 0)
		}
		request := Request{Now: now, Zone: "a", Tokens: tokens, Target: target, FleetPerToken: average, Prompt: []PrefixBlock{{Hash: BlockHash(random.Uint64()), Tokens: tokens}}}
		chosen := parameters.PickPrefillEngine(request, engines, random.Float64)
		freeAt[chosen.Index] = max(freeAt[chosen.Index], now) + PrefillTime(engines[chosen.Index].PerToken, chosen.EffectiveTokens)
		counts[tokens]++
		if freeAt[chosen.Index]-now <= target {
			inTime[tokens]++
		}
	}
	return inTime[longTokens] / counts[longTokens], inTime[shortTokens] / counts[shortTokens]
}

// Guards against short prompts that take the fast engines' time from long ones, which are in time only there. With even
// engines the decisions stay as they are.
func TestLongPromptsOnUnevenEngines(t *testing.T) {
	uneven := []float64{0.7, 0.7, 0.7, 0.7, 1.7, 1.7, 1.7, 1.7}
	long, short := longPromptsInTime(DefaultParameters(), uneven)
	longOff, shortOff := longPromptsInTime(without(t, mechanism.WorkBySpeed), uneven)
	t.Logf("in time with the mechanism: long %.3f, short %.3f; without: long %.3f, short %.3f", long, short, longOff, shortOff)
	require.Greater(t, long, longOff)
	require.GreaterOrEqual(t, short, shortOff-0.01)

	even := []float64{1, 1, 1, 1, 1, 1, 1, 1}
	long, short = longPromptsInTime(DefaultParameters(), even)
	longOff, shortOff = longPromptsInTime(without(t, mechanism.WorkBySpeed), even)
	require.Equal(t, []float64{longOff, shortOff}, []float64{long, short})
}

// Guards against streams that run into their deadlines at a slow engine, and against moves of streams that end in time.
func TestStreamsThatWouldMissTheirDeadlineMove(t *testing.T) {
	parameters := DefaultParameters()
	run := RunProgress{EventTime: 200 * time.Millisecond, RemainingEvents: 20, TimeLeft: 2 * time.Second, TimeAllowed: 6 * time.Second}
	require.True(t, parameters.ShouldMigrate(run))
	require.False(t, without(t, mechanism.SlowRunMigration).ShouldMigrate(run))
	early := run
	early.TimeLeft = 5 * time.Second
	require.False(t, parameters.ShouldMigrate(early), "most streams end long before their largest number of events")
	fast := run
	fast.EventTime = 40 * time.Millisecond
	require.False(t, parameters.ShouldMigrate(fast))
	ending := run
	ending.RemainingEvents = 2
	require.False(t, parameters.ShouldMigrate(ending))
	require.False(t, parameters.ShouldMigrate(RunProgress{RemainingEvents: 20}), "nothing is known yet")
}
