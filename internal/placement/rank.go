package placement

// Rank is that of a request at engines, where the lowest goes first.
type Rank struct {
	// First is the rank of the request's runs and of its shortest readings.
	First int
	// Steps is how many ranks from First on its readings spread over, by their length; at least 1.
	Steps int
}

// MaxRankSteps is the most ranks that readings spread over: short, middling and long ones.
const MaxRankSteps = 3

// RankOf ranks one of so many levels of priority, of which level 0 goes first. Engines know few
// ranks: where there are more levels, neighbours share one.
func RankOf(level, levels int) Rank {
	levels = max(levels, 1)
	level = min(max(level, 0), levels-1)
	first := level * RankCount / levels
	next := (level + 1) * RankCount / levels
	return Rank{First: first, Steps: min(max(next-first, 1), MaxRankSteps)}
}

// PrefillRank ranks the reading of a prompt: by its request, and then by its length.
func (p Parameters) PrefillRank(rank Rank, toRead int) int {
	step := 0
	if toRead > p.ShortPrefill {
		step++
	}
	if toRead > p.LongPrefill {
		step++
	}
	return min(rank.First+min(step, max(rank.Steps, 1)-1), RankCount-1)
}
