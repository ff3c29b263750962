package relay

import "github.com/hazelpitch/hazelpitch/internal/serving"

// identifyIncarnations returns the entries of a list under the identities by which this relay knows the incarnations.
// Leaders of the first format identify replicas but not their incarnations; a back end must not appear as a new one only
// because a leader of another format has taken over. fromFirstFormatLeader says that such a leader sent the list.
func (f *fleetState) identifyIncarnations(listed []serving.BackEnd, fromFirstFormatLeader bool) []serving.BackEnd {
	byReplica := make(map[string]*backEnd, len(f.records))
	for _, record := range f.records {
		byReplica[record.ExpectedID()] = record
	}
	identified := make([]serving.BackEnd, len(listed))
	for index, entry := range listed {
		if record := byReplica[entry.ExpectedID()]; record != nil && f.isSameIncarnation(record, entry, fromFirstFormatLeader) {
			record.listedStartedAtMs = max(record.listedStartedAtMs, entry.StartedAtMs)
			entry.ID, entry.Replica, entry.StartedAtMs = record.ID, record.Replica, record.StartedAtMs
		}
		identified[index] = entry
	}
	f.listedByFirstFormatLeader = fromFirstFormatLeader
	return identified
}

// isSameIncarnation reports whether an entry denotes the known incarnation, where a leader of the first format has sent the
// entry or the known record without a start time.
func (f *fleetState) isSameIncarnation(record *backEnd, entry serving.BackEnd, fromFirstFormatLeader bool) bool {
	switch {
	case record.Address != entry.Address:
		return false
	case fromFirstFormatLeader && entry.StartedAtMs == 0:
		return true
	case record.StartedAtMs != 0 || entry.StartedAtMs == 0:
		return false
	default:
		return record.listedStartedAtMs == entry.StartedAtMs || record.listedStartedAtMs == 0 && f.listedByFirstFormatLeader
	}
}
