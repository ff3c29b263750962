package placement

import (
	"github.com/cespare/xxhash/v2"

	"github.com/hazelpitch/hazelpitch/internal/serving"
)

// BlockHash identifies a prefix block for one model.
type BlockHash uint64

// HashBlock returns the hash of a prefix block.
func HashBlock(model, id string) BlockHash { return BlockHash(xxhash.Sum64String(model + "/" + id)) }

// PrefixBlock is a prefix block of a prompt and its length in tokens.
type PrefixBlock struct {
	Hash   BlockHash
	Tokens int
}

// PrefixBlocksOf returns the prefix blocks of a prompt in order.
func PrefixBlocksOf(prompt serving.Prompt) []PrefixBlock {
	blocks := make([]PrefixBlock, 0, len(prompt.Blocks))
	for _, block := range prompt.Blocks {
		blocks = append(blocks, PrefixBlock{Hash: HashBlock(prompt.Model, block.ID), Tokens: block.Tokens})
	}
	return blocks
}
