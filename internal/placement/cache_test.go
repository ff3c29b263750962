package placement

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Nobody may tell that a part was read: by a certain age it counts as kept.
func TestOldPartsCountAsKept(t *testing.T) {
	cache := NewCache(100_000)
	parts := []Part{{Hash: 1, Tokens: 4000}}
	cache.Begin(0, parts)
	require.Zero(t, cache.Cached(parts, KeptAfter).Usable)
	require.Equal(t, 4000, cache.Cached(parts, KeptAfter+1).Usable)
}
