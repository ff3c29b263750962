package listing

import (
	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/packed"
)

// ReceivedList is the list of back ends as the leader told it, to which changes are applied.
type ReceivedList struct {
	version uint64
	entries []*v1.ListedBackEnd
}

// Apply takes the list of a response to a watch that told the version held. It reports false when the
// list cannot be made out: it is asked for again then.
func (h *ReceivedList) Apply(held uint64, response *v1.WatchResponse) ([]*v1.ListedBackEnd, bool) {
	if change := response.GetListingChange(); change != nil {
		if held != h.version || change.GetFromVersion() != h.version {
			return nil, false
		}
		h.entries = changed(h.entries, change)
	} else {
		listing := &v1.Listing{}
		if packed.Unpack(response.GetPackedListing(), listing) != nil {
			return nil, false
		}
		h.entries = listing.GetBackEnds()
	}
	h.version = response.GetListingVersion()
	return h.entries, true
}

// changed returns a list with a change made.
func changed(entries []*v1.ListedBackEnd, change *v1.ListingChange) []*v1.ListedBackEnd {
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
