package subsetting

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

// Each of a thousand relays knows only the few that may own cells.
func TestCandidatesDoNotGrowWithRelays(t *testing.T) {
	require.Equal(t, addresses(7), OwnerCandidates(addresses(7), 9))
	for _, relays := range []int{100, 1000, 10_000} {
		require.Len(t, OwnerCandidates(addresses(relays), 320), min(relays, 128))
	}
	require.Len(t, OwnerCandidates(addresses(390), 930), 256, "at least four for each cell of 16 engines")
	require.Equal(t, OwnerCandidates(addresses(1000), 300), OwnerCandidates(addresses(1000), 500), "a few more engines change nothing")
}

// A relay that leaves changes the candidates only if it is one of them, and then by one.
func TestFewRelaysChangeTheCandidates(t *testing.T) {
	relays := addresses(1000)
	before := OwnerCandidates(relays, 320)
	changed := 0
	for index := range relays {
		without := slices.Delete(slices.Clone(relays), index, index+1)
		after := OwnerCandidates(without, 320)
		require.Len(t, after, len(before))
		if !slices.Equal(before, after) {
			changed++
			require.Len(t, slices.DeleteFunc(slices.Clone(before), func(address string) bool { return slices.Contains(after, address) }), 1)
		}
	}
	require.Equal(t, len(before), changed)
}
