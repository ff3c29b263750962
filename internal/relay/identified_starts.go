package relay

import "github.com/hazelpitch/hazelpitch/internal/serving"

// identifyIncarnations returns the entries of a list with the identities under which the starts are known here. Leaders of the
// first format name replicas and not their starts: a back end must not be another one because another build leads.
// former tells that such a leader has told the list.
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

// isSameIncarnation reports whether an entry names the start that is known, where a leader of the first format has told one of
// the two without its time.
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
