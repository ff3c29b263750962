package listing

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/packed"
)

func listedBackEnds(count int) []*v1.ListedBackEnd {
	list := make([]*v1.ListedBackEnd, count)
	for index := range list {
		list[index] = &v1.ListedBackEnd{Id: fmt.Sprintf("i-%03d", index), Service: "service", Address: "10.0.0.1:80", Slots: 4}
	}
	return list
}

// A relay that holds a kept version is told what has changed, any other one the whole list. Both are
// made once.
func TestListingIsToldByWhatHasChanged(t *testing.T) {
	history := History{}
	first := listedBackEnds(200)
	history.Add(1, first)
	second := append(listedBackEnds(200)[1:], &v1.ListedBackEnd{Id: "new"})
	second[0].Leaving = true
	history.Add(2, second)

	told, again := &v1.WatchResponse{}, &v1.WatchResponse{}
	history.FillResponse(told, 1)
	history.FillResponse(again, 1)
	change := told.GetListingChange()
	require.Same(t, change, again.GetListingChange())
	require.Equal(t, uint64(1), change.GetFromVersion())
	require.Equal(t, []string{"i-000"}, change.GetGone())
	require.Len(t, change.GetChanged(), 2)
	require.Empty(t, told.GetPackedListing())

	stranger := &v1.WatchResponse{}
	history.FillResponse(stranger, 99)
	require.Nil(t, stranger.GetListingChange())
	require.Len(t, wholeListing(t, stranger), 200)

	for version := range uint64(keptVersions) {
		history.Add(10+version, first)
	}
	late := &v1.WatchResponse{}
	history.FillResponse(late, 1)
	require.Len(t, wholeListing(t, late), 200, "an old version is forgotten")
	require.Len(t, history.lists, keptVersions)
}

// The same list has the same version, whoever leads and however long cold back ends still need.
func TestVersionOfAListing(t *testing.T) {
	one, other := listedBackEnds(5), listedBackEnds(5)
	one[2].ColdMs, other[2].ColdMs = 900, 400
	require.Equal(t, VersionOf(one), VersionOf(other))
	other[2].ColdMs = 0
	require.NotEqual(t, VersionOf(one), VersionOf(other))
	require.NotZero(t, VersionOf(nil))
}

// wholeListing reads the list that a response holds whole.
func wholeListing(t *testing.T, response *v1.WatchResponse) []*v1.ListedBackEnd {
	t.Helper()
	listing := &v1.Listing{}
	require.NoError(t, packed.Unpack(response.GetPackedListing(), listing))
	return listing.GetBackEnds()
}
