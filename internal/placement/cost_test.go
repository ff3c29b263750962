package placement

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/internal/serving"
)

// A decoding engine has room to read without a limit where even steady reading keeps its
// streams in time, and for a few pieces elsewhere.
func TestReadingRoom(t *testing.T) {
	const perToken = 54 * time.Microsecond
	p := DefaultParameters()
	require.Equal(t, math.MaxInt, p.readingRoom(300*time.Millisecond, 8, perToken))
	require.Equal(t, 3*p.DecodeChunk, p.readingRoom(150*time.Millisecond, 7, perToken))
	require.Equal(t, p.DecodeChunk, p.readingRoom(60*time.Millisecond, 7, perToken), "one piece is always let through")
	require.Equal(t, math.MaxInt, p.readingRoom(0, 7, perToken), "no gap is told")
}

// An engine that holds a prompt's shared part is waited for a little rather than letting
// another one take a copy, and not for long.
func TestCopiesOfPartsAreMadeOnlyForAGain(t *testing.T) {
	parts := []PrefixBlock{{Hash: 1, Tokens: 13_000}, {Hash: 2, Tokens: 3_000}}
	request := Request{Stage: serving.StageDecode, Prompt: parts, Tokens: 16_000, Target: time.Second, TokenTransferTime: time.Microsecond}
	costAt := func(index, waiting int) float64 {
		home := Engine{Hash: 1, Stage: serving.StagePrefill, PerToken: 25 * time.Microsecond, Cached: CachedPrefix{Total: 13_000, Ready: 13_000}}
		engines := []Engine{home, {Hash: 2, Stage: serving.StagePrefill, PerToken: 25 * time.Microsecond}}
		engines[index].Work = PrefillWork(waiting, 0)
		return DefaultParameters().weigh(request, index, engines, holderOf(engines)).Cost
	}
	const home, other = 0, 1
	require.Less(t, costAt(home, 2_000), costAt(other, 0))
	require.Greater(t, costAt(home, 8_000), costAt(other, 0))
}
