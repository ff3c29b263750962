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

// A relay with a stored version must get the change, any other relay the full list. Both must be computed only
// once.
func TestHistorySendsChangeOrFullList(t *testing.T) {
	history := History{}
	first := listedBackEnds(200)
	history.Add(1, first)
	second := append(listedBackEnds(200)[1:], &v1.ListedBackEnd{Id: "new"})
	second[0].Leaving = true
	history.Add(2, second)

	response, again := &v1.WatchResponse{}, &v1.WatchResponse{}
	history.FillResponse(response, 1)
	history.FillResponse(again, 1)
	change := response.GetListingChange()
	require.Same(t, change, again.GetListingChange())
	require.Equal(t, uint64(1), change.GetFromVersion())
	require.Equal(t, []string{"i-000"}, change.GetGone())
	require.Len(t, change.GetChanged(), 2)
	require.Empty(t, response.GetPackedListing())

	stranger := &v1.WatchResponse{}
	history.FillResponse(stranger, 99)
	require.Nil(t, stranger.GetListingChange())
	require.Len(t, unpackListing(t, stranger), 200)

	for version := range uint64(maximumVersions) {
		history.Add(10+version, first)
	}
	late := &v1.WatchResponse{}
	history.FillResponse(late, 1)
	require.Len(t, unpackListing(t, late), 200, "an old version must be removed")
	require.Len(t, history.lists, maximumVersions)
}

// Equal lists must have equal versions at every leader, whatever cold-start time cold back ends still need.
func TestVersionOfAListing(t *testing.T) {
	one, other := listedBackEnds(5), listedBackEnds(5)
	one[2].ColdMs, other[2].ColdMs = 900, 400
	require.Equal(t, VersionOf(one), VersionOf(other))
	other[2].ColdMs = 0
	require.NotEqual(t, VersionOf(one), VersionOf(other))
	require.NotZero(t, VersionOf(nil))
}

// unpackListing returns the full list in a response.
func unpackListing(t *testing.T, response *v1.WatchResponse) []*v1.ListedBackEnd {
	t.Helper()
	listing := &v1.Listing{}
	require.NoError(t, packed.Unpack(response.GetPackedListing(), listing))
	return listing.GetBackEnds()
}
