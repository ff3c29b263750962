package relay

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/formats"
	"github.com/hazelpitch/hazelpitch/internal/quarantine"
)

// A leader of the first format omits what it does not know. An omission must not count as an empty value: requests stay
// quarantined, usage is still counted, and the next leader is sent the last wanted counts.
func TestWhatALeaderDoesNotKnowHoldsOn(t *testing.T) {
	relay := newTestRelay(t, route(nil))
	signature := quarantine.SignatureOf("", "", "", []byte("ending"))
	formatRange := formats.Supported().ToWire()
	relay.fleet.ApplyUpdate(&v1.WatchResponse{
		Formats: formatRange, TellsHeld: true, HeldVersion: 7, Held: []*v1.HeldRequest{{Signature: signature[:]}},
		TrueTimeMs: 1_790_000_000_000, UsageWindowMs: 1000, ListingVersion: 1, ListingCalls: 25,
		Wanted:        []*v1.WantedBackEnds{{Service: "service", Count: 300}},
		ListingChange: &v1.ListingChange{Changed: []*v1.ListedBackEnd{{Id: "i-1", Service: "service", Address: "10.0.0.1:1", Slots: 1}}},
	})
	relay.usage.CountRequest(relay.clock.now(), "tenant")
	require.Equal(t, uint64(1), relay.usage.UnreportedCount())

	former := &v1.WatchResponse{ListingVersion: 2, ListingChange: &v1.ListingChange{FromVersion: 1, Gone: []string{"i-1"}}}
	relay.fleet.ApplyUpdate(former)
	require.True(t, relay.guard.IsQuarantined(quarantine.Content{Request: signature}))
	require.Equal(t, uint64(1), relay.usage.UnreportedCount())
	require.Equal(t, 25, relay.fleet.listingCalls)
	request := relay.fleet.WatchRequest(time.Second)
	require.Len(t, request.GetWanted(), 1)
	require.Equal(t, uint64(2), request.GetListingVersion())

	relay.fleet.ApplyUpdate(&v1.WatchResponse{Formats: formatRange, TellsHeld: true, ListingVersion: 2})
	require.False(t, relay.guard.IsQuarantined(quarantine.Content{Request: signature}), "a leader of the current format reports that no request is quarantined")
}

// Only relays whose format supports permits between relays own limits.
func TestRelaysOfTheFormerBuildKeepNoCounts(t *testing.T) {
	relay := newTestRelay(t, route(nil))
	others := []string{"127.0.0.1:1", "127.0.0.1:2", relay.datagrams.Address}
	relay.fleet.ApplyUpdate(&v1.WatchResponse{
		Formats: formats.Supported().ToWire(), RelayAddresses: others, RelayList: 5, Relays: 3, FormerRelays: others[:2],
	})
	require.Equal(t, []string{relay.datagrams.Address}, relay.permits.OwnersOf(4711))
	relay.fleet.ApplyUpdate(&v1.WatchResponse{Formats: formats.Supported().ToWire(), RelayAddresses: others, RelayList: 6, Relays: 3})
	require.Len(t, relay.permits.OwnersOf(4711), 3)
}
