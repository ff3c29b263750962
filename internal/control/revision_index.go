package control

import "sort"

// maximumIndexedRevisions is the maximum number of entries of a revisionIndex.
const maximumIndexedRevisions = 4096

// revisionIndex maps log indexes to configuration revisions, for the last revisions that were
// applied here.
type revisionIndex struct{ entries []indexedRevision }

// indexedRevision is a revision and the log index of the entry that made it.
type indexedRevision struct{ index, revision uint64 }

// add records the configuration revision that is in force after the entry at the index is applied.
func (r *revisionIndex) add(index, revision uint64) {
	if count := len(r.entries); count > 0 && r.entries[count-1].revision == revision {
		return
	}
	if len(r.entries) == maximumIndexedRevisions {
		r.entries = append(r.entries[:0], r.entries[maximumIndexedRevisions/2:]...)
	}
	r.entries = append(r.entries, indexedRevision{index: index, revision: revision})
}

// revisionAt returns the configuration revision after the entry at the index is applied; false when the index is older
// than the recorded revisions.
func (r *revisionIndex) revisionAt(index uint64) (uint64, bool) {
	after := sort.Search(len(r.entries), func(i int) bool { return r.entries[i].index > index })
	if after == 0 {
		return 0, false
	}
	return r.entries[after-1].revision, true
}
