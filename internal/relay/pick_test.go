package relay

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
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
