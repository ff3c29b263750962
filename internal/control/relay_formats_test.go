package control

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/formats"
)

// Relays choose the owners of slots by the formats in the list of relays. Guards against relays that keep an old list after
// a relay was upgraded in place, and so disagree about the owners.
func TestRelayListHasTheFormatsOfTheRelays(t *testing.T) {
	w := newTestCluster(t, 3, withSeeds)
	newSite(w, 4, 2)
	leader := w.waitLeader()
	w.run(relayCountDelay + time.Second)
	watch := func(name string, version uint64, supported formats.Range) *v1.WatchResponse {
		answer := w.call(leader, func(id CallID) Input {
			return WatchReceived{Call: id, Request: &v1.WatchRequest{
				Node: &v1.NodeIdentity{Name: name}, NoticeAddress: name + ":1", RelayList: version, Formats: supported.ToWire(),
			}}
		})
		return answer.Response.(*v1.WatchResponse)
	}
	former := formats.Range{Highest: formats.Second}
	watch("one", 0, formats.Range{})
	watch("two", 0, former)
	response := watch("three", 0, formats.Supported())
	require.Equal(t, []string{"one:1", "three:1", "two:1"}, response.GetRelayAddresses())
	require.Equal(t, []uint32{uint32(formats.First), uint32(formats.Newest), uint32(formats.Second)}, response.GetRelayFormats())
	require.Empty(t, watch("three", response.GetRelayList(), formats.Supported()).GetRelayFormats(), "the relay holds the list")

	watch("two", response.GetRelayList(), formats.Supported())
	upgraded := watch("three", response.GetRelayList(), formats.Supported())
	require.Equal(t, response.GetRelayAddresses(), upgraded.GetRelayAddresses())
	require.Equal(t, []uint32{uint32(formats.First), uint32(formats.Newest), uint32(formats.Newest)}, upgraded.GetRelayFormats())
	require.NotEqual(t, response.GetRelayList(), upgraded.GetRelayList())
}

// While a relay is replaced, its former process may still be recorded at the same address. The list must not claim a format
// that the process at the address may lack.
func TestFormatOfASharedAddressIsTheLowest(t *testing.T) {
	core := &Core{relays: map[string]*relayRecord{
		"former": {noticeAddress: "one:1", formats: formats.Range{Highest: formats.Second}},
		"new":    {noticeAddress: "one:1", formats: formats.Supported()},
	}}
	require.Equal(t, []uint32{uint32(formats.Second)}, core.highestFormats([]string{"one:1"}))
}
