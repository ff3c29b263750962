package placement

import (
	"github.com/cespare/xxhash/v2"

	"github.com/hazelpitch/hazelpitch/internal/serving"
)

// PartHash identifies a part of prompts for one model.
type PartHash uint64

// HashPart returns the hash of a part.
func HashPart(model, id string) PartHash { return PartHash(xxhash.Sum64String(model + "/" + id)) }

// Part is one part of a prompt with its length.
type Part struct {
	Hash   PartHash
	Tokens int
}

// PartsOf returns the parts of a prompt in order.
func PartsOf(prompt serving.Prompt) []Part {
	parts := make([]Part, 0, len(prompt.Parts))
	for _, part := range prompt.Parts {
		parts = append(parts, Part{Hash: HashPart(prompt.Model, part.ID), Tokens: part.Tokens})
	}
	return parts
}
