package relay

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
	require.Equal(t, math.MaxInt, readingRoom(300*time.Millisecond, 8, perToken))
	require.Equal(t, 3*decodePiece, readingRoom(150*time.Millisecond, 7, perToken))
	require.Equal(t, decodePiece, readingRoom(60*time.Millisecond, 7, perToken), "one piece is always let through")
	require.Equal(t, math.MaxInt, readingRoom(0, 7, perToken), "no gap is told")
}

// An engine that holds a prompt's shared part is waited for a little rather than letting
// another one take a copy, and not for long.
func TestCopiesOfPartsAreMadeOnlyForAGain(t *testing.T) {
	parts := []promptPart{{hash: 1, tokens: 13_000}, {hash: 2, tokens: 3_000}}
	home := newBackEnd(serving.BackEnd{ID: "home", Stage: serving.StagePrefill}, 400_000)
	other := newBackEnd(serving.BackEnd{ID: "other", Stage: serving.StagePrefill}, 400_000)
	home.cache.keep(0, parts[:1])
	wanted := choice{stage: serving.StagePrefill, prompt: parts, tokens: 16_000, target: time.Second,
		held: holder{engine: home, tokens: 13_000}, tokenMove: time.Microsecond}
	costAt := func(engine *backEnd, waiting int) float64 {
		return prefillCost(wanted, &candidate{backEnd: engine}, reading(waiting, 0), 25*time.Microsecond)
	}
	require.Less(t, costAt(home, 2_000), costAt(other, 0))
	require.Greater(t, costAt(home, 8_000), costAt(other, 0))
}
