package relay

import (
	"slices"

	"github.com/hazelpitch/hazelpitch/internal/placement"
)

// wireTokens returns the tokens by rank for a notice, without trailing zeros.
func wireTokens(asked placement.Work) []uint32 {
	var told []uint32
	for rank, tokens := range asked.Tokens {
		if tokens > 0 {
			told = append(told, make([]uint32, rank+1-len(told))...)
			told[rank] = uint32(tokens)
		}
	}
	return told
}

// tokensFromWire is the reverse of wireTokens.
func tokensFromWire(told []uint32) (tokens [placement.RankCount]int) {
	for rank, count := range slices.All(told[:min(len(told), placement.RankCount)]) {
		tokens[rank] = int(count)
	}
	return tokens
}

// wireParts returns the hashes and lengths of parts for a notice.
func wireParts(parts []placement.PrefixBlock) (hashes []uint64, tokens []uint32) {
	for _, part := range parts {
		hashes = append(hashes, uint64(part.Hash))
		tokens = append(tokens, uint32(max(part.Tokens, 0)))
	}
	return hashes, tokens
}

// partsFromWire is the reverse of wireParts; what does not fit together is left out.
func partsFromWire(hashes []uint64, tokens []uint32) []placement.PrefixBlock {
	if len(hashes) != len(tokens) {
		return nil
	}
	parts := make([]placement.PrefixBlock, len(hashes))
	for index, hash := range hashes {
		parts[index] = placement.PrefixBlock{Hash: placement.BlockHash(hash), Tokens: int(tokens[index])}
	}
	return parts
}

func hashesFromWire(told []uint64) []placement.BlockHash {
	hashes := make([]placement.BlockHash, len(told))
	for index, hash := range told {
		hashes[index] = placement.BlockHash(hash)
	}
	return hashes
}
