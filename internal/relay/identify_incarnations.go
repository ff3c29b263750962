package relay

import "github.com/hazelpitch/hazelpitch/internal/serving"

// identifyIncarnations returns the entries of a list under the identities by which this relay knows the incarnations.
// Leaders of the first format identify replicas but not their incarnations; a back end must not appear as a new one only
// because a leader of another format has taken over. fromFormerLeader says that such a leader sent the list.
func (k *fleetState) identifyIncarnations(listed []serving.BackEnd, fromFormerLeader bool) []serving.BackEnd {
	byReplica := make(map[string]*backEnd, len(k.records))
	for _, known := range k.records {
		byReplica[known.ExpectedID()] = known
	}
	identified := make([]serving.BackEnd, len(listed))
	for index, entry := range listed {
		if known := byReplica[entry.ExpectedID()]; known != nil && k.isSameIncarnation(known, entry, fromFormerLeader) {
			known.listedBorn = max(known.listedBorn, entry.StartedAtMs)
			entry.ID, entry.Replica, entry.StartedAtMs = known.ID, known.Replica, known.StartedAtMs
		}
		identified[index] = entry
	}
	k.listedByFormerLeader = fromFormerLeader
	return identified
}

// isSameIncarnation reports whether an entry denotes the known incarnation, where a leader of the first format has sent the
// entry or the known record without a start time.
func (k *fleetState) isSameIncarnation(known *backEnd, entry serving.BackEnd, fromFormerLeader bool) bool {
	switch {
	case known.Address != entry.Address:
		return false
	case fromFormerLeader && entry.StartedAtMs == 0:
		return true
	case known.StartedAtMs != 0 || entry.StartedAtMs == 0:
		return false
	default:
		return known.listedBorn == entry.StartedAtMs || known.listedBorn == 0 && k.listedByFormerLeader
	}
}
