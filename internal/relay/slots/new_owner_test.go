package slots

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// acquireMany lets a relay ask for many slots at the same time, and keeps those that it gets until the test ends.
func (f *testFleet) acquireMany(relay *testRelay, count int) {
	for range count {
		request := relay.request()
		request.DeadlineAt += 10 * time.Second
		request.TargetAt = request.DeadlineAt
		go relay.Acquire(request, f.t.Context().Done())
	}
}

// A deputy that is asked may not know all the slots that the silent owner has granted. Both together must not grant all
// slots twice.
func TestDeputyGrantsHalfOfTheSlotsAtFirst(t *testing.T) {
	inFleet(t, 4, 2, 4, func(t *testing.T, fleet *testFleet) {
		fleet.owner().kill()
		fleet.acquireMany(fleet.relays[2], 8)
		time.Sleep(200 * time.Millisecond)
		require.Equal(t, 4, fleet.deputy().granter.heldCount())
		time.Sleep(300 * time.Millisecond)
		require.Equal(t, 8, fleet.deputy().granter.heldCount())
	})
}

// When the list of relays makes the deputy the owner, relays with the former list still use the former owner for a moment.
func TestDeputyThatBecomesOwnerGrantsHalfOfTheSlotsAtFirst(t *testing.T) {
	inFleet(t, 4, 2, 4, func(t *testing.T, fleet *testFleet) {
		deputy := fleet.deputy()
		var remaining []string
		for _, relay := range fleet.relays[1:] {
			remaining = append(remaining, relay.address())
		}
		slices.Sort(remaining)
		for _, relay := range fleet.relays {
			relay.SetRelays(remaining)
		}
		require.Equal(t, deputy.address(), fleet.relays[3].OwnersOf(service)[0])
		fleet.acquireMany(fleet.relays[3], 8)
		time.Sleep(200 * time.Millisecond)
		require.Equal(t, 4, deputy.granter.heldCount())
		time.Sleep(300 * time.Millisecond)
		require.Equal(t, 8, deputy.granter.heldCount())
	})
}
