package placement

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Nobody may tell that a part was read: by a certain age it counts as kept.
func TestOldPartsCountAsKept(t *testing.T) {
	cache := NewPrefixCache(100_000)
	parts := []PrefixBlock{{Hash: 1, Tokens: 4000}}
	cache.AddPending(0, parts)
	require.Zero(t, cache.Lookup(parts, AssumeReadyAfter).Ready)
	require.Equal(t, 4000, cache.Lookup(parts, AssumeReadyAfter+1).Ready)
}
