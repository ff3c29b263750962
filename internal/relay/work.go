package relay

import "slices"

// ranks is the number of ranks that a request can have at an engine; 0 goes first.
const ranks = 10

// work is what requests do at a back end.
type work struct {
	// prompts counts readings of prompts for other engines, streams everything else.
	prompts, streams int
	// tokens are those of prompts that the back end still has to read, by rank.
	tokens [ranks]int
}

// reading is the work of a prompt's tokens at a rank.
func reading(tokens, rank int) work {
	asked := work{}
	asked.tokens[min(max(rank, 0), ranks-1)] = tokens
	return asked
}

func (w work) plus(other work) work {
	w.prompts += other.prompts
	w.streams += other.streams
	for rank := range w.tokens {
		w.tokens[rank] += other.tokens[rank]
	}
	return w
}

func (w work) minus(other work) work {
	w.prompts -= other.prompts
	w.streams -= other.streams
	for rank := range w.tokens {
		w.tokens[rank] -= other.tokens[rank]
	}
	return w
}

// promptTokens are all tokens that wait to be read.
func (w work) promptTokens() int { return w.tokensUpTo(ranks - 1) }

// tokensUpTo are the tokens that go before or with those of a rank.
func (w work) tokensUpTo(rank int) int {
	sum := 0
	for _, tokens := range w.tokens[:min(max(rank, 0), ranks-1)+1] {
		sum += tokens
	}
	return sum
}

// wireTokens returns the tokens by rank for a notice, without trailing zeros.
func (w work) wireTokens() []uint32 {
	var told []uint32
	for rank, tokens := range w.tokens {
		if tokens > 0 {
			told = append(told, make([]uint32, rank+1-len(told))...)
			told[rank] = uint32(tokens)
		}
	}
	return told
}

// tokensFromWire is the reverse of wireTokens.
func tokensFromWire(told []uint32) (tokens [ranks]int) {
	for rank, count := range slices.All(told[:min(len(told), ranks)]) {
		tokens[rank] = int(count)
	}
	return tokens
}
