package placement

// Ranks is the number of ranks that a request can have at an engine; 0 goes first.
const Ranks = 10

// Work is what requests do at a back end.
type Work struct {
	// Prompts counts readings of prompts for other engines, Streams everything else.
	Prompts, Streams int
	// Tokens are those of prompts that the back end still has to read, by rank.
	Tokens [Ranks]int
}

// Reading is the work of a prompt's tokens at a rank.
func Reading(tokens, rank int) Work {
	asked := Work{}
	asked.Tokens[min(max(rank, 0), Ranks-1)] = tokens
	return asked
}

// Plus adds work.
func (w Work) Plus(other Work) Work {
	w.Prompts += other.Prompts
	w.Streams += other.Streams
	for rank := range w.Tokens {
		w.Tokens[rank] += other.Tokens[rank]
	}
	return w
}

// Minus takes work away.
func (w Work) Minus(other Work) Work {
	w.Prompts -= other.Prompts
	w.Streams -= other.Streams
	for rank := range w.Tokens {
		w.Tokens[rank] -= other.Tokens[rank]
	}
	return w
}

// PromptTokens are all tokens that wait to be read.
func (w Work) PromptTokens() int { return w.TokensUpTo(Ranks - 1) }

// TokensUpTo are the tokens that go before or with those of a rank.
func (w Work) TokensUpTo(rank int) int {
	sum := 0
	for _, tokens := range w.Tokens[:min(max(rank, 0), Ranks-1)+1] {
		sum += tokens
	}
	return sum
}
