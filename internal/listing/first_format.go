package listing

import (
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
)

// ToFirstFormat returns a list as relays of the first format know it: by the identities of replicas, which requests name
// there, and without what such relays do not read, so that its version is that of such a controller. A list that has
// nothing else is returned as it is.
func ToFirstFormat(list []*v1.ListedBackEnd) []*v1.ListedBackEnd {
	if !slices.ContainsFunc(list, tellsMore) {
		return list
	}
	former := make([]*v1.ListedBackEnd, len(list))
	for index, entry := range list {
		if former[index] = entry; tellsMore(entry) {
			former[index] = asFirstFormat(entry)
		}
	}
	slices.SortFunc(former, func(a, b *v1.ListedBackEnd) int { return strings.Compare(a.GetId(), b.GetId()) })
	return former
}

// tellsMore reports whether an entry has what the first format has not.
func tellsMore(entry *v1.ListedBackEnd) bool {
	return entry.GetReplica() != "" || entry.GetBornMs() != 0 || entry.GetSpot()
}

func asFirstFormat(entry *v1.ListedBackEnd) *v1.ListedBackEnd {
	former := proto.CloneOf(entry)
	if former.Replica != "" {
		former.Id = former.Replica
	}
	former.Replica, former.BornMs, former.Spot = "", 0, false
	return former
}
