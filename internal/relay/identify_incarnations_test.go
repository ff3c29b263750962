package relay

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/internal/serving"
)

// entryOf returns a replica's list entry; startedAtMs is 0 in the list of a leader of the first format.
func entryOf(startedAtMs int64, address string) serving.BackEnd {
	entry := serving.BackEnd{ID: "i-1", Service: "s", Address: address, Zone: "z", Slots: 4}
	if startedAtMs != 0 {
		entry.ID, entry.Replica, entry.StartedAtMs = "i-1/"+string(rune('0'+startedAtMs)), "i-1", startedAtMs
	}
	return entry
}

// A back end keeps its record, with its connections, load and runs, while leaders of two builds that identify it differently
// take turns. Another incarnation of the replica gets a new record under each of them.
func TestAStartStaysTheSameUnderLeadersOfBothBuilds(t *testing.T) {
	const here, there = "10.0.0.1:1", "10.0.0.2:1"
	type listingStep struct {
		startedAtMs int64
		address     string
		// same means that the entry denotes the same incarnation as the previous entry.
		same bool
	}
	for name, listings := range map[string][]listingStep{
		"the former build takes over":            {{1, here, false}, {0, here, true}, {1, here, true}, {0, here, true}},
		"the new build takes over":               {{0, here, false}, {1, here, true}, {0, here, true}, {1, here, true}},
		"new incarnation at another address":     {{1, here, false}, {0, there, false}, {2, there, true}},
		"new incarnation under the new build":    {{0, here, false}, {1, here, true}, {2, here, false}},
		"new incarnation under the former build": {{1, here, false}, {0, here, true}, {2, here, false}},
	} {
		t.Run(name, func(t *testing.T) {
			relay := newTestRelay(t, route(nil))
			var former *backEnd
			for index, step := range listings {
				next := *relay.view.Load()
				relay.fleet.applyListing(relay.fleet.identifyIncarnations([]serving.BackEnd{entryOf(step.startedAtMs, step.address)}, step.startedAtMs == 0), &next)
				relay.setView(&next)
				require.Len(t, next.byService["s"], 1)
				listed := next.byService["s"][0]
				require.Equal(t, "i-1", listed.ExpectedID(), "requests are addressed to the replica")
				require.Equal(t, step.same, listed == former, "listing %d", index)
				former = listed
			}
		})
	}
}

// Relays of both builds identify an engine by the same hash.
func TestEnginesHaveOneHashUnderBothBuilds(t *testing.T) {
	require.Equal(t, newBackEnd(entryOf(0, "a"), 0).hash, newBackEnd(entryOf(1, "a"), 0).hash)
}
