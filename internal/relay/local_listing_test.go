package relay

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/listing"
	"github.com/hazelpitch/hazelpitch/internal/packed"
	"github.com/hazelpitch/hazelpitch/internal/serving"
)

// listsRead lets a relay read a list of so many engines by itself, and counts the readings.
func (r *testRelay) listsRead(engines int) *int {
	readings := 0
	r.fleet.readListing = func(context.Context, *http.Client, int) (serving.Listing, error) {
		readings++
		read := serving.Listing{Calls: 50}
		for index := range engines {
			id := fmt.Sprint("i-", index)
			read.BackEnds = append(read.BackEnds, serving.BackEnd{ID: id, Address: id, Service: "service", Stage: serving.StageDecode})
		}
		return read, nil
	}
	r.relayCount.Store(1)
	r.suspendable().Add(int64(10 * listing.DirectReadAfter)) // since then no leader was heard
	return &readings
}

// A relay that knows no configuration can serve nobody: a thousand that start together must not spend the
// calls on a list that the leader needs.
func TestRelayWithoutConfigurationLeavesTheList(t *testing.T) {
	relay := newTestRelay(t, route(nil), startBackEnd(t, "one", serving.StageWhole, refusing(503)))
	readings := relay.listsRead(10)
	relay.view.Store(&view{byService: map[string][]*backEnd{}})
	relay.fleet.HandleNoLeader(t.Context())
	require.Zero(t, *readings)
}

// Nor must one that does not know how many others there are: none of them would wait for its turn.
func TestRelayThatKnowsNoOthersLeavesTheList(t *testing.T) {
	relay := newTestRelay(t, route(nil), startBackEnd(t, "one", serving.StageWhole, refusing(503)))
	readings := relay.listsRead(10)
	relay.relayCount.Store(0)
	relay.fleet.HandleNoLeader(t.Context())
	require.Zero(t, *readings)
}

// A relay that reads the list itself keeps to those back ends that the last leader told all relays of, where
// they are a part: owners and those who ask them must mean the same cells.
func TestRelayKeepsToThePartItWasTold(t *testing.T) {
	for partial, expected := range map[bool]int{true: 2, false: 40} {
		relay := newTestRelay(t, route(nil), startBackEnd(t, "one", serving.StageWhole, refusing(503)))
		told := &v1.Listing{BackEnds: []*v1.ListedBackEnd{{Id: "i-0", Service: "service"}, {Id: "i-7", Service: "service"}, {Id: "gone", Service: "service"}}}
		relay.fleet.ApplyUpdate(&v1.WatchResponse{
			ListingVersion: 7, PackedListing: packed.Pack(told), ListingPartial: partial,
			Wanted: []*v1.WantedBackEnds{{Service: "service", Count: 3}},
		})
		require.Equal(t, uint32(3), relay.fleet.WatchRequest(time.Second).GetWanted()[0].GetCount(), "a new leader is told")
		readings := relay.listsRead(40)
		relay.fleet.HandleNoLeader(t.Context())
		require.Equal(t, 1, *readings)
		require.Len(t, relay.view.Load().byService["service"], expected)
	}
}
