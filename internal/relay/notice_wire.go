package relay

import (
	"slices"

	"github.com/hazelpitch/hazelpitch/internal/placement"
)

// tokensToWire returns the tokens by rank for a notice, without trailing zeros.
func tokensToWire(work placement.Work) []uint32 {
	var counts []uint32
	for rank, tokens := range work.Tokens {
		if tokens > 0 {
			counts = append(counts, make([]uint32, rank+1-len(counts))...)
			counts[rank] = uint32(tokens)
		}
	}
	return counts
}

// tokensFromWire is the reverse of tokensToWire.
func tokensFromWire(counts []uint32) (tokens [placement.RankCount]int) {
	for rank, count := range slices.All(counts[:min(len(counts), placement.RankCount)]) {
		tokens[rank] = int(count)
	}
	return tokens
}

// blocksToWire returns the hashes and lengths of blocks for a notice.
func blocksToWire(blocks []placement.PrefixBlock) (hashes []uint64, tokens []uint32) {
	for _, block := range blocks {
		hashes = append(hashes, uint64(block.Hash))
		tokens = append(tokens, uint32(max(block.Tokens, 0)))
	}
	return hashes, tokens
}

// blocksFromWire is the reverse of blocksToWire. It returns nil when the two lists differ in length.
func blocksFromWire(hashes []uint64, tokens []uint32) []placement.PrefixBlock {
	if len(hashes) != len(tokens) {
		return nil
	}
	blocks := make([]placement.PrefixBlock, len(hashes))
	for index, hash := range hashes {
		blocks[index] = placement.PrefixBlock{Hash: placement.BlockHash(hash), Tokens: int(tokens[index])}
	}
	return blocks
}

func hashesFromWire(wireHashes []uint64) []placement.BlockHash {
	hashes := make([]placement.BlockHash, len(wireHashes))
	for index, hash := range wireHashes {
		hashes[index] = placement.BlockHash(hash)
	}
	return hashes
}
