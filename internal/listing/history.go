package listing

import (
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/packed"
)

// keptVersions is how many versions of the list are kept, so that relays which hold one of them
// are told what has changed and not the whole list.
const keptVersions = 12

// History holds the newest versions of the list of back ends. What it sends is made once for
// a version, however many relays ask.
type History struct {
	// versions are those kept, the current one last.
	versions []uint64
	lists    map[uint64][]*v1.ListedBackEnd
	// changes lead from kept versions to the current one.
	changes map[uint64]*v1.ListingChange
	// whole is the current list, compressed; empty until somebody needs it.
	whole []byte
}

// Add makes a list the current one.
func (h *History) Add(version uint64, list []*v1.ListedBackEnd) {
	if h.lists == nil {
		h.lists = map[uint64][]*v1.ListedBackEnd{}
	}
	h.versions = append(slices.DeleteFunc(h.versions, func(kept uint64) bool { return kept == version }), version)
	h.lists[version] = list
	if len(h.versions) > keptVersions {
		delete(h.lists, h.versions[0])
		h.versions = h.versions[1:]
	}
	h.changes, h.whole = map[uint64]*v1.ListingChange{}, nil
}

// FillResponse adds to a response what a relay needs that holds a version of the list.
func (h *History) FillResponse(response *v1.WatchResponse, held uint64) {
	current := h.versions[len(h.versions)-1]
	former, kept := h.lists[held]
	if kept {
		if h.changes[held] == nil {
			h.changes[held] = changeOf(held, former, h.lists[current])
		}
		response.ListingChange = h.changes[held]
		return
	}
	if h.whole == nil {
		h.whole = packed.Pack(&v1.Listing{BackEnds: h.lists[current]})
	}
	response.PackedListing = h.whole
}

// changeOf is what makes one list out of another.
func changeOf(version uint64, from, to []*v1.ListedBackEnd) *v1.ListingChange {
	change := &v1.ListingChange{FromVersion: version}
	former := make(map[string]*v1.ListedBackEnd, len(from))
	for _, entry := range from {
		former[entry.GetId()] = entry
	}
	for _, entry := range to {
		if known := former[entry.GetId()]; known == nil || !EqualEntries(known, entry) {
			change.Changed = append(change.Changed, entry)
		}
		delete(former, entry.GetId())
	}
	change.Gone = slices.Sorted(maps.Keys(former))
	return change
}

// VersionOf is a hash of what a list holds, but for the time that cold back ends need, which runs
// on. No list has version 0.
func VersionOf(list []*v1.ListedBackEnd) uint64 {
	digest := xxhash.New()
	var content []byte
	for _, entry := range list {
		if entry.GetColdMs() > 1 {
			entry = proto.CloneOf(entry)
			entry.ColdMs = 1
		}
		content, _ = proto.MarshalOptions{Deterministic: true}.MarshalAppend(content[:0], entry) // strings of the list are valid
		_, _ = digest.Write(content)                                                             // never fails
	}
	return max(digest.Sum64(), 1)
}

// EqualEntries compares two entries but for the time that a cold one needs, which runs on.
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
