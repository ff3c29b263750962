package listing

import (
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/packed"
)

// maximumVersions is the number of stored versions of the list. Relays that have one of them get only the
// change and not the full list.
const maximumVersions = 12

// History stores the newest versions of the list of back ends. Each change and each packed list is computed
// once per version, for any number of relays.
type History struct {
	// versions are the stored versions, the current one last.
	versions []uint64
	lists    map[uint64][]*v1.ListedBackEnd
	// changes lead from stored versions to the current one.
	changes map[uint64]*v1.ListingChange
	// packedList is the current list, compressed; nil until it is needed.
	packedList []byte
}

// Add makes a list the current version.
func (h *History) Add(version uint64, list []*v1.ListedBackEnd) {
	if h.lists == nil {
		h.lists = map[uint64][]*v1.ListedBackEnd{}
	}
	h.versions = append(slices.DeleteFunc(h.versions, func(stored uint64) bool { return stored == version }), version)
	h.lists[version] = list
	if len(h.versions) > maximumVersions {
		delete(h.lists, h.versions[0])
		h.versions = h.versions[1:]
	}
	h.changes, h.packedList = map[uint64]*v1.ListingChange{}, nil
}

// FillResponse adds the change or the full list that a relay with the given version needs to a response.
func (h *History) FillResponse(response *v1.WatchResponse, relayVersion uint64) {
	current := h.versions[len(h.versions)-1]
	storedList, stored := h.lists[relayVersion]
	if stored {
		if h.changes[relayVersion] == nil {
			h.changes[relayVersion] = computeChange(relayVersion, storedList, h.lists[current])
		}
		response.ListingChange = h.changes[relayVersion]
		return
	}
	if h.packedList == nil {
		h.packedList = packed.Pack(&v1.Listing{BackEnds: h.lists[current]})
	}
	response.PackedListing = h.packedList
}

// computeChange returns the change that turns one list into the other.
func computeChange(version uint64, from, to []*v1.ListedBackEnd) *v1.ListingChange {
	change := &v1.ListingChange{FromVersion: version}
	formerByID := make(map[string]*v1.ListedBackEnd, len(from))
	for _, entry := range from {
		formerByID[entry.GetId()] = entry
	}
	for _, entry := range to {
		if known := formerByID[entry.GetId()]; known == nil || !EqualEntries(known, entry) {
			change.Changed = append(change.Changed, entry)
		}
		delete(formerByID, entry.GetId())
	}
	change.Gone = slices.Sorted(maps.Keys(formerByID))
	return change
}

// VersionOf returns a hash of a list's content. The remaining cold-start time of cold back ends does not count,
// because it changes constantly. No list has version 0.
func VersionOf(list []*v1.ListedBackEnd) uint64 {
	digest := xxhash.New()
	var content []byte
	for _, entry := range list {
		if entry.GetColdMs() > 1 {
			entry = proto.CloneOf(entry)
			entry.ColdMs = 1
		}
		content, _ = proto.MarshalOptions{Deterministic: true}.MarshalAppend(content[:0], entry) // strings of the list are valid UTF-8
		_, _ = digest.Write(content)                                                             // never returns an error
	}
	return max(digest.Sum64(), 1)
}

// EqualEntries compares two entries, except for the remaining cold-start time of a cold back end.
func EqualEntries(a, b *v1.ListedBackEnd) bool {
	if (a.GetColdMs() == 0) != (b.GetColdMs() == 0) {
		return false
	}
	if a.GetColdMs() == b.GetColdMs() {
		return proto.Equal(a, b)
	}
	other := proto.CloneOf(b)
	other.ColdMs = a.GetColdMs()
	return proto.Equal(a, other)
}
