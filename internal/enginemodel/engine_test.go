package enginemodel

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
)

// roundProfile has round numbers: 1000 prompt tokens a second, 10 ms a step.
func roundProfile() Profile {
	profile := DefaultProfile()
	profile.PrefillTokensPerSecond = 1000
	profile.StepBase = 10 * time.Millisecond
	profile.StepPerSequence = 0
	profile.StepPerContextToken = 0
	profile.PrefillChunk = map[enginecontract.Role]int{
		enginecontract.RolePrefill: 100, enginecontract.RoleMixed: 100, enginecontract.RoleDecode: 50,
	}
	profile.KVCapacityTokens = 1000
	profile.KVBytesPerToken = 1
	profile.KVTransferBytesPerSecond = 1000
	profile.BlockTokens = 10
	profile.PrefixCacheBlocks = 4
	return profile
}

func newEngine(t require.TestingT, role enginecontract.Role) *Engine {
	engine, err := New(roundProfile(), role, WithTokenEvents())
	require.NoError(t, err)
	return engine
}

func TestEventTimesOfOneSequence(t *testing.T) {
	tests := []struct {
		name    string
		role    enginecontract.Role
		request Request
		want    []Event
	}{
		{"prefill and decode", enginecontract.RoleMixed, Request{PromptTokens: 150, OutputTokens: 3}, []Event{
			{At: 170 * time.Millisecond, Type: EventFirstToken, OutputTokens: 1},
			{At: 180 * time.Millisecond, Type: EventToken, OutputTokens: 2},
			{At: 190 * time.Millisecond, Type: EventToken, OutputTokens: 3},
			{At: 190 * time.Millisecond, Type: EventDone, OutputTokens: 3},
		}},
		{"prefill only", enginecontract.RolePrefill, Request{PromptTokens: 50, Phase: PhasePrefillOnly}, []Event{
			{At: 60 * time.Millisecond, Type: EventPrefillDone},
		}},
		{"imported", enginecontract.RoleDecode, Request{PromptTokens: 100, OutputTokens: 1, Phase: PhaseDecodeImported}, []Event{
			{At: 110 * time.Millisecond, Type: EventFirstToken, OutputTokens: 1},
			{At: 110 * time.Millisecond, Type: EventDone, OutputTokens: 1},
		}},
		{"continued", enginecontract.RoleMixed, Request{PromptTokens: 40, OutputTokens: 11, AlreadyDelivered: 10}, []Event{
			{At: 60 * time.Millisecond, Type: EventFirstToken, OutputTokens: 11},
			{At: 60 * time.Millisecond, Type: EventDone, OutputTokens: 11},
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			engine := newEngine(t, test.role)
			require.NoError(t, engine.Submit(0, test.request))
			want := append([]Event{{Type: EventStarted, OutputTokens: test.request.AlreadyDelivered}}, test.want...)
			require.Empty(t, cmp.Diff(want, engine.Advance(time.Minute)))
			require.Zero(t, engine.Load().KVCacheUsed)
		})
	}
}

func TestSubmitErrors(t *testing.T) {
	tests := []struct {
		name    string
		role    enginecontract.Role
		request Request
		want    error
	}{
		{"no prompt", enginecontract.RoleMixed, Request{OutputTokens: 1}, ErrRequest},
		{"no output left", enginecontract.RoleMixed, Request{PromptTokens: 1, OutputTokens: 2, AlreadyDelivered: 2}, ErrRequest},
		{"too large", enginecontract.RoleMixed, Request{PromptTokens: 1000, OutputTokens: 1}, ErrTooLarge},
		{"whole request at a prefill engine", enginecontract.RolePrefill, Request{PromptTokens: 1, OutputTokens: 1}, ErrRole},
		{"prefill at a decode engine", enginecontract.RoleDecode, Request{PromptTokens: 1, Phase: PhasePrefillOnly}, ErrRole},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			engine := newEngine(t, test.role)
			err := engine.Submit(0, test.request)
			require.True(t, errors.Is(err, test.want), "%v", err)
			require.True(t, engine.Empty())
		})
	}
}

func TestHigherPriorityRunsFirstWhenMemoryIsShort(t *testing.T) {
	engine := newEngine(t, enginecontract.RoleMixed)
	require.NoError(t, engine.Submit(0, Request{ID: "holder", PromptTokens: 600, OutputTokens: 1}))
	require.NoError(t, engine.Submit(0, Request{ID: "low", PromptTokens: 600, OutputTokens: 1}))
	require.NoError(t, engine.Submit(0, Request{ID: "high", PromptTokens: 600, OutputTokens: 1, Priority: 1}))
	require.Equal(t, 2, engine.Load().Waiting)
	var done []string
	for _, event := range engine.Advance(time.Minute) {
		if event.Type == EventDone {
			done = append(done, event.ID)
		}
	}
	require.Equal(t, []string{"holder", "high", "low"}, done)
}

func TestPrefixCacheShortensPrefillAndEvictsTheOldest(t *testing.T) {
	engine := newEngine(t, enginecontract.RoleMixed)
	blocks := []uint64{1, 2, 3}
	submit := func(at time.Duration, id string, blocks []uint64) Event {
		require.NoError(t, engine.Submit(at, Request{ID: id, PromptTokens: 35, OutputTokens: 1, PrefixBlocks: blocks}))
		return engine.Advance(at + time.Second)[1]
	}
	require.Equal(t, 0, submit(0, "first", blocks).CachedTokens)
	again := submit(time.Minute, "again", blocks)
	require.Equal(t, 30, again.CachedTokens)
	require.Equal(t, time.Minute+15*time.Millisecond, again.At)
	submit(2*time.Minute, "other", []uint64{7, 8, 9})
	require.Equal(t, 10, submit(3*time.Minute, "after eviction", blocks).CachedTokens)
	var stored, evicted int
	for _, event := range engine.TakeCacheEvents() {
		if event.Stored {
			stored++
		} else {
			evicted++
		}
	}
	require.Equal(t, 4, stored-evicted)
}

func TestRoleChangeNeedsAnEmptyEngine(t *testing.T) {
	engine := newEngine(t, enginecontract.RoleMixed)
	require.NoError(t, engine.Submit(0, Request{ID: "a", PromptTokens: 10, OutputTokens: 1}))
	require.Error(t, engine.SetRole(0, enginecontract.RolePrefill))
	require.True(t, engine.Cancel(0, "a"))
	require.NoError(t, engine.SetRole(0, enginecontract.RolePrefill))
	require.Len(t, engine.Advance(time.Minute), 1, "only the event of the start")
}

// Submits and cancels sequences at random. Each sequence that was not cancelled must report all its
// tokens and its end exactly once, independent of the times of Advance, and the KV cache must be free
// at the end.
func TestAnyScheduleCompletesEverySequenceOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		roles := []enginecontract.Role{enginecontract.RoleMixed, enginecontract.RoleDecode}
		role := rapid.SampledFrom(roles).Draw(t, "role")
		coarse, fine := newEngine(t, role), newEngine(t, role)
		var coarseEvents, fineEvents []Event
		want := map[string]int{}
		now := time.Duration(0)
		for index := range rapid.IntRange(1, 30).Draw(t, "requests") {
			for range rapid.IntRange(0, 5).Draw(t, "pauses") {
				now += time.Duration(rapid.IntRange(0, 40).Draw(t, "pause")) * time.Millisecond
				fineEvents = append(fineEvents, fine.Advance(now)...)
			}
			request := Request{
				ID:           fmt.Sprint(index),
				PromptTokens: rapid.IntRange(1, 300).Draw(t, "prompt"),
				OutputTokens: rapid.IntRange(1, 30).Draw(t, "output"),
				Priority:     rapid.IntRange(0, 2).Draw(t, "priority"),
				PrefixBlocks: []uint64{uint64(rapid.IntRange(0, 9).Draw(t, "block"))},
			}
			if role == enginecontract.RoleDecode && rapid.Bool().Draw(t, "imported") {
				request.Phase = PhaseDecodeImported
			}
			require.NoError(t, coarse.Submit(now, request))
			require.NoError(t, fine.Submit(now, request))
			want[request.ID] = request.OutputTokens
			if rapid.IntRange(0, 4).Draw(t, "cancel") == 0 {
				cancelled := fmt.Sprint(rapid.IntRange(0, index).Draw(t, "cancelled"))
				if coarse.Cancel(now, cancelled) {
					delete(want, cancelled)
				}
				fine.Cancel(now, cancelled)
			}
		}
		coarseEvents = coarse.Advance(time.Hour)
		fineEvents = append(fineEvents, fine.Advance(time.Hour)...)
		require.Empty(t, cmp.Diff(fineEvents, coarseEvents))
		outputTokens, done := map[string]int{}, map[string]bool{}
		for _, event := range coarseEvents {
			if event.Type == EventStarted {
				continue
			}
			if event.Type == EventDone {
				require.False(t, done[event.ID], "ended twice")
				done[event.ID] = true
				continue
			}
			outputTokens[event.ID]++
			require.Equal(t, outputTokens[event.ID], event.OutputTokens)
		}
		for id, tokens := range want {
			require.True(t, done[id], "sequence %s has no end", id)
			require.Equal(t, tokens, outputTokens[id])
		}
		require.True(t, coarse.Empty())
		require.Zero(t, coarse.Load().KVCacheUsed)
	})
}

func BenchmarkMinuteOfThirtyEngines(b *testing.B) {
	for b.Loop() {
		for index := range 30 {
			engine, err := New(DefaultProfile(), enginecontract.RoleMixed)
			require.NoError(b, err)
			for arrival := range 600 {
				at := time.Duration(arrival) * 100 * time.Millisecond
				require.NoError(b, engine.Submit(at, Request{
					ID: fmt.Sprint(index, arrival), PromptTokens: 1500, OutputTokens: 200,
				}))
			}
			engine.Advance(time.Minute)
		}
	}
}
