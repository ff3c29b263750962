package placement

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// For any number of priority levels, every prefill of a level goes before those of the next level or shares a rank with
// them, and all ranks are below RankCount.
func TestRanksPreservePriorityLevels(t *testing.T) {
	policy := DefaultParameters()
	for levels := 1; levels <= 40; levels++ {
		last := -1
		for level := range levels {
			rank := RankOf(level, levels)
			shortest, longest := policy.PrefillRank(rank, 1), policy.PrefillRank(rank, policy.LongPrefill+1)
			require.Equal(t, rank.First, shortest)
			require.LessOrEqual(t, shortest, longest)
			require.Less(t, longest, RankCount)
			if levels <= RankCount {
				require.Greater(t, shortest, last, "%d of %d levels", level, levels)
			} else {
				require.GreaterOrEqual(t, shortest, last, "%d of %d levels", level, levels)
			}
			last = longest
		}
	}
}

func TestFewLevelsSpreadByPromptLength(t *testing.T) {
	policy := DefaultParameters()
	rank := RankOf(1, 3)
	require.Equal(t, Rank{First: 3, Steps: 3}, rank)
	require.Equal(t, 3, policy.PrefillRank(rank, policy.ShortPrefill))
	require.Equal(t, 4, policy.PrefillRank(rank, policy.ShortPrefill+1))
	require.Equal(t, 5, policy.PrefillRank(rank, policy.LongPrefill+1))
}
