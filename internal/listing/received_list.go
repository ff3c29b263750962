package listing

import (
	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/packed"
)

// ReceivedList is a relay's copy of the leader's list of back ends.
type ReceivedList struct {
	version uint64
	entries []*v1.ListedBackEnd
}

// Apply applies the list or change in a response to a watch request that stated heldVersion as the version of
// the relay's list, and returns the new list. It returns false if the response cannot be applied; the relay
// must then request the list again.
func (l *ReceivedList) Apply(heldVersion uint64, response *v1.WatchResponse) ([]*v1.ListedBackEnd, bool) {
	if change := response.GetListingChange(); change != nil {
		if heldVersion != l.version || change.GetFromVersion() != l.version {
			return nil, false
		}
		l.entries = applyChange(l.entries, change)
	} else {
		listing := &v1.Listing{}
		if packed.Unpack(response.GetPackedListing(), listing) != nil {
			return nil, false
		}
		l.entries = listing.GetBackEnds()
	}
	l.version = response.GetListingVersion()
	return l.entries, true
}

// applyChange returns the list with the change applied.
func applyChange(entries []*v1.ListedBackEnd, change *v1.ListingChange) []*v1.ListedBackEnd {
	next := make([]*v1.ListedBackEnd, 0, len(entries)+len(change.GetChanged()))
	replaced := make(map[string]bool, len(change.GetChanged())+len(change.GetGone()))
	for _, entry := range change.GetChanged() {
		replaced[entry.GetId()] = true
	}
	for _, id := range change.GetGone() {
		replaced[id] = true
	}
	for _, entry := range entries {
		if !replaced[entry.GetId()] {
			next = append(next, entry)
		}
	}
	return append(next, change.GetChanged()...)
}
