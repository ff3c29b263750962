package listing

import (
	"testing"

	"github.com/stretchr/testify/require"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/packed"
)

func identities(entries []*v1.ListedBackEnd) (ids []string) {
	for _, entry := range entries {
		ids = append(ids, entry.GetId())
	}
	return ids
}

// A relay must apply changes of the list, and reject a response that it cannot apply.
func TestReceivedListAppliesChanges(t *testing.T) {
	list := ReceivedList{}
	packedList := packed.Pack(&v1.Listing{BackEnds: []*v1.ListedBackEnd{{Id: "a"}, {Id: "b"}, {Id: "c"}}})
	entries, applied := list.Apply(0, &v1.WatchResponse{ListingVersion: 5, PackedListing: packedList})
	require.True(t, applied)
	require.Equal(t, []string{"a", "b", "c"}, identities(entries))

	change := &v1.ListingChange{FromVersion: 5, Changed: []*v1.ListedBackEnd{{Id: "b", Leaving: true}, {Id: "d"}}, Gone: []string{"a"}}
	entries, applied = list.Apply(5, &v1.WatchResponse{ListingVersion: 6, ListingChange: change})
	require.True(t, applied)
	require.Equal(t, []string{"c", "b", "d"}, identities(entries))
	require.True(t, entries[1].GetLeaving())

	for name, response := range map[string]*v1.WatchResponse{
		"a change from another version": {ListingVersion: 9, ListingChange: &v1.ListingChange{FromVersion: 7}},
		"a corrupt list":                {ListingVersion: 9, PackedListing: []byte("garbled")},
		"nothing":                       {ListingVersion: 9},
	} {
		_, applied = list.Apply(6, response)
		require.False(t, applied, name)
		require.Equal(t, uint64(6), list.version)
	}
	_, applied = list.Apply(0, &v1.WatchResponse{ListingVersion: 7, ListingChange: &v1.ListingChange{FromVersion: 6}})
	require.False(t, applied, "the relay has read the list elsewhere in the meantime")
}
