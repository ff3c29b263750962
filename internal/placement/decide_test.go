package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/internal/serving"
)

// queuedRequest returns a request and its only engine, a prefill engine with queued tokens ahead of it.
func queuedRequest(queuedTokens, tokens, cached int) (Request, []Engine) {
	request := Request{
		Stage: serving.StageDecode, Tokens: tokens, Prompt: []PrefixBlock{{Hash: 1, Tokens: tokens}}, Target: 500 * time.Millisecond,
		UncachedShare: 0.5, TimeLeft: 6 * time.Second,
	}
	return request, []Engine{{
		Stage: serving.StagePrefill, PerToken: 25 * time.Microsecond, Work: PrefillWork(queuedTokens, 0),
		Cached: CachedPrefix{Total: cached, Ready: cached},
	}}
}

// In an overload, prompts that are mostly cached are prefilled and the others are refused.
func TestCachedPromptsMayWaitLonger(t *testing.T) {
	for name, row := range map[string]struct {
		cached int
		want   Action
	}{
		"most of it is cached": {9_000, PrefillSeparately},
		"as much as usual":     {5_000, Refuse},
		"nothing is cached":    {0, Refuse},
	} {
		t.Run(name, func(t *testing.T) {
			request, engines := queuedRequest(28_000, 10_000, row.cached)
			require.Equal(t, row.want, DefaultParameters().PlacePrefill(request, engines, rand.Float64).Action)
		})
	}
	request, engines := queuedRequest(18_000, 10_000, 0)
	require.Equal(t, Refuse, DefaultParameters().PlacePrefill(request, engines, rand.Float64).Action)
	request, engines = queuedRequest(18_000, 10_000, 5_000)
	require.Equal(t, PrefillSeparately, DefaultParameters().PlacePrefill(request, engines, rand.Float64).Action)
}

// Requests that are refused together get different retry times, all of them early enough to be served.
func TestRetryAfterIsSpread(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	request, engines := queuedRequest(100_000, 10_000, 0)
	earliest, latest := time.Hour, time.Duration(0)
	for range 200 {
		decision := DefaultParameters().PlacePrefill(request, engines, random.Float64)
		require.Equal(t, Refuse, decision.Action)
		earliest, latest = min(earliest, decision.RetryAfter), max(latest, decision.RetryAfter)
	}
	require.Less(t, earliest, 1_050*time.Millisecond)
	require.Greater(t, latest, 1_950*time.Millisecond)
	require.LessOrEqual(t, latest, 2*time.Second)
}

// For any speed of engines and links and any number of slots, no request is refused while a prefill engine is
// idle, and every prefill engine gets work.
func TestNoRefusalWhileAnEngineIsIdle(t *testing.T) {
	for _, speed := range []float64{0.1, 1, 10} {
		for _, link := range []float64{0.1, 1, 10} {
			for _, slots := range []int{4, 16, 64} {
				t.Run(fmt.Sprintf("speed %v, link %v, %d slots", speed, link, slots), func(t *testing.T) {
					checkSharing(t, speed, link, slots)
				})
			}
		}
	}
}

// checkSharing sends prompts to a small fleet in which no prefill finishes.
func checkSharing(t *testing.T, speed, link float64, slots int) {
	random := rand.New(rand.NewPCG(3, 4))
	perToken := time.Duration(25_000/speed) * time.Nanosecond
	engines := make([]Engine, 6)
	for index := range engines {
		engines[index] = Engine{Hash: uint64(index), Stage: serving.StagePrefill, PerToken: perToken}
	}
	engines[5].Stage = serving.StageDecode
	target := time.Duration(20_000) * perToken
	for range slots {
		request := Request{
			Stage: serving.StageDecode, Tokens: 8_000, Prompt: []PrefixBlock{{Hash: BlockHash(random.Uint64()), Tokens: 4_000}, {Hash: BlockHash(random.Uint64()), Tokens: 4_000}},
			Target: max(target, 200*time.Millisecond), TokenTransferTime: time.Duration(2_000/link) * time.Nanosecond, UncachedShare: 1, TimeLeft: 5 * time.Second,
		}
		decision := DefaultParameters().PlacePrefill(request, engines, random.Float64)
		idle := false
		for _, engine := range engines {
			idle = idle || engine.Stage == serving.StagePrefill && engine.Work == (Work{})
		}
		if idle {
			require.NotEqual(t, Refuse, decision.Action)
			require.NotEqual(t, Unplaced, decision.Action)
		}
		if decision.Action == PrefillSeparately {
			chosen := &engines[decision.Engine.Index]
			chosen.Work = chosen.Work.Plus(PrefillWork(decision.Engine.EffectiveTokens, 0)).Plus(Work{Prefills: 1})
		}
	}
	if slots < len(engines) {
		return
	}
	for index, engine := range engines[:5] {
		require.NotZero(t, engine.Work.Prefills, "engine %d gets no prefill", index)
	}
}

// A request that would wait long for a slot at every engine is refused, unless its rank is 0, which is admitted before
// all others.
func TestRequestsAreRefusedWhenSlotsAreTaken(t *testing.T) {
	for name, row := range map[string]struct {
		streams      [2]int
		rank         int
		slotHoldTime time.Duration
		want         Action
	}{
		"a slot is free":           {streams: [2]int{60, 10}, rank: 3, slotHoldTime: 2 * time.Second, want: PrefillOnDecodeEngine},
		"a slot frees up soon":     {streams: [2]int{60, 51}, rank: 3, slotHoldTime: 2 * time.Second, want: PrefillOnDecodeEngine},
		"every engine has a queue": {streams: [2]int{60, 60}, rank: 3, slotHoldTime: 2 * time.Second, want: Refuse},
		"rank 0 is admitted first": {streams: [2]int{60, 60}, rank: 0, slotHoldTime: 2 * time.Second, want: PrefillOnDecodeEngine},
		"runs end quickly":         {streams: [2]int{60, 60}, rank: 3, slotHoldTime: 20 * time.Millisecond, want: PrefillOnDecodeEngine},
		"the hold time is unknown": {streams: [2]int{60, 60}, rank: 3, want: PrefillOnDecodeEngine},
	} {
		t.Run(name, func(t *testing.T) {
			request := Request{Stage: serving.StageDecode, Rank: Rank{First: row.rank, Steps: 1}, Tokens: 200, Target: 250 * time.Millisecond, SlotHoldTime: row.slotHoldTime, TimeLeft: 9 * time.Second}
			var engines []Engine
			for _, streams := range row.streams {
				engines = append(engines, Engine{Stage: serving.StageDecode, Slots: 48, PerToken: time.Microsecond, Work: Work{Streams: streams}})
			}
			decision := DefaultParameters().PlacePrefill(request, engines, rand.Float64)
			require.Equal(t, row.want, decision.Action)
			require.Equal(t, row.want == Refuse, decision.RetryAfter > 0)
		})
	}
}

// A run migrates only to an engine with a free slot.
func TestMigrationTargetHasAFreeSlot(t *testing.T) {
	engine := func(streams int, stage serving.Stage, closed bool) Engine {
		return Engine{Stage: stage, Slots: 8, Closed: closed, Work: Work{Streams: streams}}
	}
	engines := []Engine{engine(8, serving.StageDecode, false), engine(0, serving.StageDecode, true), engine(0, serving.StagePrefill, false)}
	require.Nil(t, DefaultParameters().PickMigrationTarget(Request{Stage: serving.StageDecode}, engines, rand.Float64))
	engines = append(engines, engine(7, serving.StageDecode, false))
	target := DefaultParameters().PickMigrationTarget(Request{Stage: serving.StageDecode}, engines, rand.Float64)
	require.Equal(t, 3, target.Index)
	require.False(t, engines[0].Closed, "the caller's engines are not modified")
}
