package relay

import "github.com/hazelpitch/hazelpitch/internal/serving"

// identified returns the entries of a list with the identities under which the starts are known here. Leaders of the
// first format name replicas and not their starts: a back end must not be another one because another build leads.
// former tells that such a leader has told the list.
func (k *knowledge) identified(listed []serving.BackEnd, former bool) []serving.BackEnd {
	byReplica := make(map[string]*backEnd, len(k.known))
	for _, known := range k.known {
		byReplica[known.ExpectedID()] = known
	}
	identified := make([]serving.BackEnd, len(listed))
	for index, entry := range listed {
		if known := byReplica[entry.ExpectedID()]; known != nil && k.isSameStart(known, entry, former) {
			known.toldBorn = max(known.toldBorn, entry.StartedAtMs)
			entry.ID, entry.Replica, entry.StartedAtMs = known.ID, known.Replica, known.StartedAtMs
		}
		identified[index] = entry
	}
	k.formerListed = former
	return identified
}

// isSameStart reports whether an entry names the start that is known, where a leader of the first format has told one of
// the two without its time.
func (k *knowledge) isSameStart(known *backEnd, entry serving.BackEnd, former bool) bool {
	switch {
	case known.Address != entry.Address:
		return false
	case former && entry.StartedAtMs == 0:
		return true
	case known.StartedAtMs != 0 || entry.StartedAtMs == 0:
		return false
	default:
		return known.toldBorn == entry.StartedAtMs || known.toldBorn == 0 && k.formerListed
	}
}
