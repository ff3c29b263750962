package placement

import (
	"github.com/cespare/xxhash/v2"

	"github.com/hazelpitch/hazelpitch/internal/serving"
)

// BlockHash identifies a part of prompts for one model.
type BlockHash uint64

// HashBlock returns the hash of a part.
func HashBlock(model, id string) BlockHash { return BlockHash(xxhash.Sum64String(model + "/" + id)) }

// PrefixBlock is one part of a prompt with its length.
type PrefixBlock struct {
	Hash   BlockHash
	Tokens int
}

// PrefixBlocksOf returns the parts of a prompt in order.
func PrefixBlocksOf(prompt serving.Prompt) []PrefixBlock {
	parts := make([]PrefixBlock, 0, len(prompt.Blocks))
	for _, part := range prompt.Blocks {
		parts = append(parts, PrefixBlock{Hash: HashBlock(prompt.Model, part.ID), Tokens: part.Tokens})
	}
	return parts
}
