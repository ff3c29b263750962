package placement

// Rank is the scheduling rank of a request at engines; the lowest goes first.
type Rank struct {
	// First is the rank of the request's decode and of its shortest prefills.
	First int
	// Steps is the number of ranks, from First on, over which prefills spread by length; at least 1.
	Steps int
}

// MaxRankSteps is the largest number of ranks over which prefills spread: short, medium and long ones.
const MaxRankSteps = 3

// RankOf returns the rank of a priority level among levels; level 0 goes first. Engines have RankCount ranks:
// if there are more levels, adjacent ones share a rank.
func RankOf(level, levels int) Rank {
	levels = max(levels, 1)
	level = min(max(level, 0), levels-1)
	first := level * RankCount / levels
	next := (level + 1) * RankCount / levels
	return Rank{First: first, Steps: min(max(next-first, 1), MaxRankSteps)}
}

// PrefillRank returns the rank of a prefill: by the priority of its request, then by its length.
func (p Parameters) PrefillRank(rank Rank, prefillTokens int) int {
	step := 0
	if prefillTokens > p.ShortPrefill {
		step++
	}
	if prefillTokens > p.LongPrefill {
		step++
	}
	return min(rank.First+min(step, max(rank.Steps, 1)-1), RankCount-1)
}
