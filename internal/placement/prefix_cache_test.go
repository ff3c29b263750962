package placement

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// A pending block counts as ready after AssumeReadyAfter, since the report of its prefill may be lost.
func TestOldPendingBlocksCountAsReady(t *testing.T) {
	cache := NewPrefixCache(100_000)
	blocks := []PrefixBlock{{Hash: 1, Tokens: 4000}}
	cache.AddPending(0, blocks)
	require.Zero(t, cache.Lookup(blocks, AssumeReadyAfter).Ready)
	require.Equal(t, 4000, cache.Lookup(blocks, AssumeReadyAfter+1).Ready)
}
