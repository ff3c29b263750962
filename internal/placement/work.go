package placement

// RankCount is the number of ranks of requests at an engine; rank 0 goes first.
const RankCount = 10

// Work is the work that requests cause at a back end.
type Work struct {
	// Prefills counts prefills for other engines, Streams all other requests.
	Prefills, Streams int
	// Tokens are the prompt tokens that the back end still has to prefill, by rank.
	Tokens [RankCount]int
}

// PrefillWork returns the work of prefilling a prompt's tokens at a rank.
func PrefillWork(tokens, rank int) Work {
	work := Work{}
	work.Tokens[min(max(rank, 0), RankCount-1)] = tokens
	return work
}

// Plus returns the sum of w and other.
func (w Work) Plus(other Work) Work {
	w.Prefills += other.Prefills
	w.Streams += other.Streams
	for rank := range w.Tokens {
		w.Tokens[rank] += other.Tokens[rank]
	}
	return w
}

// Minus returns w less other.
func (w Work) Minus(other Work) Work {
	w.Prefills -= other.Prefills
	w.Streams -= other.Streams
	for rank := range w.Tokens {
		w.Tokens[rank] -= other.Tokens[rank]
	}
	return w
}

// PromptTokens returns the prompt tokens of all ranks that wait for their prefill.
func (w Work) PromptTokens() int { return w.TokensUpTo(RankCount - 1) }

// TokensUpTo returns the waiting prompt tokens of the given rank and of all ranks that go before it.
func (w Work) TokensUpTo(rank int) int {
	sum := 0
	for _, tokens := range w.Tokens[:min(max(rank, 0), RankCount-1)+1] {
		sum += tokens
	}
	return sum
}
