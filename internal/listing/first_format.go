package listing

import (
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
)

// ToFirstFormat returns a list in the form that relays of the first format expect: entries have the identities
// of replicas, which requests of such relays use, and no newer fields. The version of the returned list thus
// equals the one that a controller of the first format computes. A list without newer fields is returned
// unchanged.
func ToFirstFormat(list []*v1.ListedBackEnd) []*v1.ListedBackEnd {
	if !slices.ContainsFunc(list, hasNewerFields) {
		return list
	}
	converted := make([]*v1.ListedBackEnd, len(list))
	for index, entry := range list {
		if converted[index] = entry; hasNewerFields(entry) {
			converted[index] = entryToFirstFormat(entry)
		}
	}
	slices.SortFunc(converted, func(a, b *v1.ListedBackEnd) int { return strings.Compare(a.GetId(), b.GetId()) })
	return converted
}

// hasNewerFields reports whether an entry has fields that the first format does not have.
func hasNewerFields(entry *v1.ListedBackEnd) bool {
	return entry.GetReplica() != "" || entry.GetBornMs() != 0 || entry.GetSpot() || entry.GetSoftware() != ""
}

func entryToFirstFormat(entry *v1.ListedBackEnd) *v1.ListedBackEnd {
	converted := proto.CloneOf(entry)
	if converted.Replica != "" {
		converted.Id = converted.Replica
	}
	converted.Replica, converted.BornMs, converted.Spot, converted.Software = "", 0, false, ""
	return converted
}
