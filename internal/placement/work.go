package placement

// RankCount is the number of ranks that a request can have at an engine; 0 goes first.
const RankCount = 10

// Work is what requests do at a back end.
type Work struct {
	// Prefills counts readings of prompts for other engines, Streams everything else.
	Prefills, Streams int
	// Tokens are those of prompts that the back end still has to read, by rank.
	Tokens [RankCount]int
}

// PrefillWork is the work of a prompt's tokens at a rank.
func PrefillWork(tokens, rank int) Work {
	asked := Work{}
	asked.Tokens[min(max(rank, 0), RankCount-1)] = tokens
	return asked
}

// Plus adds work.
func (w Work) Plus(other Work) Work {
	w.Prefills += other.Prefills
	w.Streams += other.Streams
	for rank := range w.Tokens {
		w.Tokens[rank] += other.Tokens[rank]
	}
	return w
}

// Minus takes work away.
func (w Work) Minus(other Work) Work {
	w.Prefills -= other.Prefills
	w.Streams -= other.Streams
	for rank := range w.Tokens {
		w.Tokens[rank] -= other.Tokens[rank]
	}
	return w
}

// PromptTokens are all tokens that wait to be read.
func (w Work) PromptTokens() int { return w.TokensUpTo(RankCount - 1) }

// TokensUpTo are the tokens that go before or with those of a rank.
func (w Work) TokensUpTo(rank int) int {
	sum := 0
	for _, tokens := range w.Tokens[:min(max(rank, 0), RankCount-1)+1] {
		sum += tokens
	}
	return sum
}
