package relay

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/internal/serving"
)

// entryOf is a list's entry of a replica; born is 0 where a leader of the first format tells it.
func entryOf(born int64, address string) serving.BackEnd {
	entry := serving.BackEnd{ID: "i-1", Service: "s", Address: address, Zone: "z", Slots: 4}
	if born != 0 {
		entry.ID, entry.Replica, entry.StartedAtMs = "i-1/"+string(rune('0'+born)), "i-1", born
	}
	return entry
}

// A back end stays the same one, with its connections, load and runs, while leaders of two builds take turns that name
// it differently; another start of the replica is another one under each.
func TestAStartStaysTheSameUnderLeadersOfBothBuilds(t *testing.T) {
	const here, there = "10.0.0.1:1", "10.0.0.2:1"
	type told struct {
		born    int64
		address string
		// same: it is the start that was told before.
		same bool
	}
	for name, tellings := range map[string][]told{
		"the former build comes to lead":            {{1, here, false}, {0, here, true}, {1, here, true}, {0, here, true}},
		"the new build comes to lead":               {{0, here, false}, {1, here, true}, {0, here, true}, {1, here, true}},
		"it starts again at another address":        {{1, here, false}, {0, there, false}, {2, there, true}},
		"it starts again under the new build":       {{0, here, false}, {1, here, true}, {2, here, false}},
		"it started again while the former one led": {{1, here, false}, {0, here, true}, {2, here, false}},
	} {
		t.Run(name, func(t *testing.T) {
			relay := newTestRelay(t, route(nil))
			var former *backEnd
			for index, telling := range tellings {
				next := *relay.view.Load()
				relay.fleet.applyListing(relay.fleet.identifyIncarnations([]serving.BackEnd{entryOf(telling.born, telling.address)}, telling.born == 0), &next)
				relay.setView(&next)
				require.Len(t, next.byService["s"], 1)
				listed := next.byService["s"][0]
				require.Equal(t, "i-1", listed.ExpectedID(), "requests name the replica")
				require.Equal(t, telling.same, listed == former, "telling %d", index)
				former = listed
			}
		})
	}
}

// Relays of both builds mean the same engine by its hash.
func TestEnginesHaveOneHashUnderBothBuilds(t *testing.T) {
	require.Equal(t, newBackEnd(entryOf(0, "a"), 0).hash, newBackEnd(entryOf(1, "a"), 0).hash)
}
