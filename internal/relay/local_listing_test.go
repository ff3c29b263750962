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

// serveListing lets a relay read a platform list with the given number of engines, and returns the number of reads.
func (r *testRelay) serveListing(engines int) *int {
	reads := 0
	r.fleet.readListing = func(context.Context, *http.Client, int) (serving.Listing, error) {
		reads++
		read := serving.Listing{Calls: 50}
		for index := range engines {
			id := fmt.Sprint("i-", index)
			read.BackEnds = append(read.BackEnds, serving.BackEnd{ID: id, Address: id, Service: "service", Stage: serving.StageDecode})
		}
		return read, nil
	}
	r.relayCount.Store(1)
	r.suspension().Add(int64(10 * listing.DirectReadAfter)) // the last message of a leader is that old
	return &reads
}

// A relay without a configuration cannot serve any request. A thousand relays that start together must not use up the calls
// to the platform that the leader needs.
func TestRelayWithoutConfigurationDoesNotReadTheList(t *testing.T) {
	relay := newTestRelay(t, route(nil), startBackEnd(t, "one", serving.StageWhole, refusing(503)))
	reads := relay.serveListing(10)
	relay.view.Store(&view{byService: map[string][]*backEnd{}})
	relay.fleet.HandleNoLeader(t.Context())
	require.Zero(t, *reads)
}

// A relay that does not know the number of relays must not read the list either: it cannot tell how long to wait for its turn.
func TestRelayThatKnowsNoOthersLeavesTheList(t *testing.T) {
	relay := newTestRelay(t, route(nil), startBackEnd(t, "one", serving.StageWhole, refusing(503)))
	reads := relay.serveListing(10)
	relay.relayCount.Store(0)
	relay.fleet.HandleNoLeader(t.Context())
	require.Zero(t, *reads)
}

// A relay that reads the list itself restricts it to the back ends that the last leader had listed, when that was only a
// part: owners and the relays that query them must use the same cells.
func TestRelayRestrictsItsListingToTheLeadersPart(t *testing.T) {
	for partial, expected := range map[bool]int{true: 2, false: 40} {
		relay := newTestRelay(t, route(nil), startBackEnd(t, "one", serving.StageWhole, refusing(503)))
		list := &v1.Listing{BackEnds: []*v1.ListedBackEnd{{Id: "i-0", Service: "service"}, {Id: "i-7", Service: "service"}, {Id: "gone", Service: "service"}}}
		relay.fleet.ApplyUpdate(&v1.WatchResponse{
			ListingVersion: 7, PackedListing: packed.Pack(list), ListingPartial: partial,
			Wanted: []*v1.WantedBackEnds{{Service: "service", Count: 3}},
		})
		require.Equal(t, uint32(3), relay.fleet.WatchRequest(time.Second).GetWanted()[0].GetCount(), "a new leader receives the last wanted counts")
		reads := relay.serveListing(40)
		relay.fleet.HandleNoLeader(t.Context())
		require.Equal(t, 1, *reads)
		require.Len(t, relay.view.Load().byService["service"], expected)
	}
}
