package placement

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/internal/serving"
)

// The prefill budget of a decode engine is unlimited if continuous prefill keeps its streams within their gap
// target, and a few chunks otherwise.
func TestReadingRoom(t *testing.T) {
	const perToken = 54 * time.Microsecond
	p := DefaultParameters()
	require.Equal(t, math.MaxInt, p.prefillBudget(300*time.Millisecond, 8, perToken))
	require.Equal(t, 3*p.DecodeChunk, p.prefillBudget(150*time.Millisecond, 7, perToken))
	require.Equal(t, p.DecodeChunk, p.prefillBudget(60*time.Millisecond, 7, perToken), "one chunk is always allowed")
	require.Equal(t, math.MaxInt, p.prefillBudget(0, 7, perToken), "there is no gap target")
}

// A prompt waits a little for the engine that has its shared block cached before another engine copies the block,
// but not for long.
func TestBlocksAreTransferredOnlyWhenCheaper(t *testing.T) {
	parts := []PrefixBlock{{Hash: 1, Tokens: 13_000}, {Hash: 2, Tokens: 3_000}}
	request := Request{Stage: serving.StageDecode, Prompt: parts, Tokens: 16_000, Target: time.Second, TokenTransferTime: time.Microsecond}
	costAt := func(index, queued int) float64 {
		home := Engine{Hash: 1, Stage: serving.StagePrefill, PerToken: 25 * time.Microsecond, Cached: CachedPrefix{Total: 13_000, Ready: 13_000}}
		engines := []Engine{home, {Hash: 2, Stage: serving.StagePrefill, PerToken: 25 * time.Microsecond}}
		engines[index].Work = PrefillWork(queued, 0)
		return DefaultParameters().evaluate(request, index, engines, findKVSource(engines)).Cost
	}
	const home, other = 0, 1
	require.Less(t, costAt(home, 2_000), costAt(other, 0))
	require.Greater(t, costAt(home, 8_000), costAt(other, 0))
}
