package cell

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

func relays(count int) []string {
	addresses := make([]string, count)
	for index := range addresses {
		addresses[index] = fmt.Sprintf("10.0.%d.%d:7380", index/250, index%250)
	}
	return addresses
}

// One relay more or less changes the owners of few cells, and the first deputy succeeds the owner.
func TestOwnersChangeLittleWithTheRelays(t *testing.T) {
	all := relays(300)
	const cells = 1000
	changed := 0
	for id := range uint64(cells) {
		before := Owners(id, all, 3)
		require.Len(t, before, 3)
		var remaining []string
		for _, relay := range all {
			if relay != before[0] {
				remaining = append(remaining, relay)
			}
		}
		require.Equal(t, before[1:], Owners(id, remaining, 2), "the deputy takes over")
		if Owners(id, all[1:], 1)[0] != before[0] {
			changed++
		}
	}
	require.Less(t, changed, cells/50)
}

// No relay owns a large share of the cells.
func TestOwnersAreSpread(t *testing.T) {
	for _, count := range []int{10, 100, 1000} {
		const cells = 2000
		owned := map[string]int{}
		for id := range uint64(cells) {
			owned[Owners(mix(id, 7), relays(count), 1)[0]]++
		}
		for relay, number := range owned {
			require.Less(t, number, 3*cells/count+12, relay)
		}
	}
}

// Owners returns fewer relays than requested if a small site has fewer.
func TestOwnersOfFewRelays(t *testing.T) {
	require.Empty(t, Owners(1, nil, 2))
	require.Equal(t, []string{"one"}, Owners(1, []string{"one"}, 2))
}
