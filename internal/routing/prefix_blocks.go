package routing

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

const (
	// PrefixBlockBytes is the length in bytes of the prompt text that one prefix block covers.
	PrefixBlockBytes = 512
	// MaxPrefixBlocks bounds the prefix blocks of one prompt.
	MaxPrefixBlocks = 64
)

// PrefixBlocks returns identities of the prompt's leading blocks, at most MaxPrefixBlocks. Each identity covers
// the whole prompt up to the end of the block and the tenant's salt, so that two tenants never share one. An
// incomplete block at the end has none.
func PrefixBlocks(salt string, prompt []byte) []uint64 {
	count := min(len(prompt)/PrefixBlockBytes, MaxPrefixBlocks)
	if count == 0 {
		return nil
	}
	blocks := make([]uint64, count)
	chain := xxhash.Sum64String(salt)
	var digest xxhash.Digest
	var previous [8]byte
	for i := range blocks {
		digest.Reset()
		binary.LittleEndian.PutUint64(previous[:], chain)
		_, _ = digest.Write(previous[:])
		_, _ = digest.Write(prompt[i*PrefixBlockBytes : (i+1)*PrefixBlockBytes])
		chain = digest.Sum64()
		blocks[i] = chain
	}
	return blocks
}
