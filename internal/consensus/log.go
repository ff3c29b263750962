package consensus

import (
	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
)

// position is the index and term of one entry.
type position struct {
	index uint64
	term  uint64
}

// isAheadOf reports whether a log that ends at this position may contain committed entries that one which ends at the other
// position lacks (Raft's comparison of last term and last index).
func (p position) isAheadOf(other position) bool {
	return p.term > other.term || p.term == other.term && p.index > other.index
}

// entryLog is the log in memory: the entries after base, the newest snapshot, and the indexes up
// to which the log is synced, committed and applied.
type entryLog struct {
	// base is the position of the last entry before the ones in entries.
	base    position
	entries []*v1.Entry
	// bytes is the size of the data of entries.
	bytes int
	// snapshot is the newest snapshot; nil before the first.
	snapshot *v1.Snapshot
	// handedOut is the last index passed to the owner for persisting; stable is the last index synced.
	handedOut uint64
	stable    uint64
	commit    uint64
	applied   uint64
}

// newEntryLog builds the log from the state restored from disk.
func newEntryLog(restored Restored) (*entryLog, error) {
	log := &entryLog{snapshot: restored.Snapshot}
	if metadata := restored.Snapshot.GetMetadata(); metadata != nil {
		log.base = position{index: metadata.GetIndex(), term: metadata.GetTerm()}
	}
	next := log.base.index + 1
	for _, entry := range restored.Entries {
		if entry.GetIndex() < next {
			continue
		}
		if entry.GetIndex() != next {
			return nil, trace.BadParameter("consensus: restored log has a hole: entry %d follows %d; replace the disk",
				entry.GetIndex(), next-1)
		}
		log.appendEntry(entry)
		next++
	}
	log.stable, log.handedOut = log.last().index, log.last().index
	log.commit, log.applied = log.base.index, log.base.index
	if commit := restored.HardState.GetCommit(); commit > log.commit {
		if commit > log.last().index {
			return nil, trace.BadParameter("consensus: restored log ends at %d but %d was committed; replace the disk",
				log.last().index, commit)
		}
		log.commit = commit
	}
	return log, nil
}

// last returns the position of the last entry.
func (l *entryLog) last() position {
	if count := len(l.entries); count > 0 {
		entry := l.entries[count-1]
		return position{index: entry.GetIndex(), term: entry.GetTerm()}
	}
	return l.base
}

// termAt returns the term of the entry at the index.
func (l *entryLog) termAt(index uint64) (uint64, error) {
	term, present := l.lookUpTerm(index)
	switch {
	case present:
		return term, nil
	case index < l.base.index:
		return 0, trace.Wrap(ErrCompacted, "term of entry %d", index)
	default:
		return 0, trace.Wrap(ErrUnavailable, "term of entry %d", index)
	}
}

// lookUpTerm returns the term of the entry at the index and whether the log contains the entry.
// It is called for every entry that arrives, and most of those are new, so it creates no error value.
func (l *entryLog) lookUpTerm(index uint64) (uint64, bool) {
	switch {
	case index == l.base.index:
		return l.base.term, true
	case index < l.base.index || index > l.last().index:
		return 0, false
	}
	return l.entries[index-l.base.index-1].GetTerm(), true
}

// matches reports whether the log contains the entry at the position.
func (l *entryLog) matches(at position) bool {
	term, present := l.lookUpTerm(at.index)
	return present && term == at.term
}

// entriesFrom returns entries from the index onwards, up to maximumBytes but at least one.
func (l *entryLog) entriesFrom(index uint64, maximumBytes int) ([]*v1.Entry, error) {
	if index <= l.base.index {
		return nil, trace.Wrap(ErrCompacted, "entries from %d", index)
	}
	if index > l.last().index {
		return nil, nil
	}
	entries := l.entries[index-l.base.index-1:]
	size := 0
	for count, entry := range entries {
		size += proto.Size(entry)
		if count > 0 && size > maximumBytes {
			return entries[:count:count], nil
		}
	}
	return entries[:len(entries):len(entries)], nil
}

// entriesBetween returns the entries after low, up to and including high.
func (l *entryLog) entriesBetween(low, high uint64) []*v1.Entry {
	low, high = max(low, l.base.index), min(high, l.last().index)
	if low >= high {
		return nil
	}
	return l.entries[low-l.base.index : high-l.base.index : high-l.base.index]
}

// appendEntry appends one entry.
func (l *entryLog) appendEntry(entry *v1.Entry) {
	l.entries = append(l.entries, entry)
	l.bytes += len(entry.GetData())
}

// dataBytes returns the size of the data of entries.
func dataBytes(entries []*v1.Entry) int {
	size := 0
	for _, entry := range entries {
		size += len(entry.GetData())
	}
	return size
}

// merge appends a leader's entries that follow a matching position, and removes the entries that
// conflict with them. It returns the first index that changed, or 0 if none did.
func (l *entryLog) merge(entries []*v1.Entry) uint64 {
	for i, entry := range entries {
		index := entry.GetIndex()
		if index <= l.base.index || l.matches(position{index: index, term: entry.GetTerm()}) {
			continue
		}
		l.truncate(index)
		l.entries = append(l.entries, entries[i:]...)
		l.bytes += dataBytes(entries[i:])
		return index
	}
	return 0
}

// truncate removes the entries from the index onwards. It copies the slice, because the owner may
// still use parts of it.
func (l *entryLog) truncate(index uint64) {
	if index > l.last().index {
		return
	}
	remaining := l.entries[:index-l.base.index-1]
	l.bytes -= dataBytes(l.entries[len(remaining):])
	l.entries = append(make([]*v1.Entry, 0, len(remaining)), remaining...)
	l.handedOut = min(l.handedOut, index-1)
	l.stable = min(l.stable, index-1)
}

// conflictHint returns the last position at or before the index whose term is not above the given
// term: the best estimate of the last entry that both logs share.
func (l *entryLog) conflictHint(index, term uint64) position {
	index = min(index, l.last().index)
	for index > l.base.index {
		termHere, err := l.termAt(index)
		if err != nil || termHere <= term {
			return position{index: index, term: termHere}
		}
		index--
	}
	return l.base
}

// isUpToDate reports whether a candidate's log that ends at the position contains at least every
// entry of this log that may be committed.
func (l *entryLog) isUpToDate(candidate position) bool {
	return !l.last().isAheadOf(candidate)
}

// restore replaces the log by a snapshot.
func (l *entryLog) restore(snapshot *v1.Snapshot) {
	metadata := snapshot.GetMetadata()
	l.snapshot = snapshot
	l.base = position{index: metadata.GetIndex(), term: metadata.GetTerm()}
	l.entries, l.bytes = nil, 0
	l.handedOut, l.stable = l.base.index, 0
	l.commit = max(l.commit, l.base.index)
}

// compact stores the snapshot and removes the entries before it, except the newest of them: at most maximumEntries, with
// at most maximumBytes of data.
func (l *entryLog) compact(snapshot *v1.Snapshot, maximumEntries uint64, maximumBytes int) {
	l.snapshot = snapshot
	cut := l.firstRetained(snapshot.GetMetadata().GetIndex(), maximumEntries, maximumBytes) - 1
	if cut <= l.base.index {
		return
	}
	term, err := l.termAt(cut)
	if err != nil {
		return
	}
	l.bytes -= dataBytes(l.entries[:cut-l.base.index])
	l.entries = append([]*v1.Entry(nil), l.entries[cut-l.base.index:]...)
	l.base = position{index: cut, term: term}
}

// firstRetained returns the index of the first entry that compact retains for a snapshot at last; last+1 if it retains none.
func (l *entryLog) firstRetained(last, maximumEntries uint64, maximumBytes int) uint64 {
	first, bytes := last+1, 0
	for first-1 > l.base.index && last+1-first < maximumEntries {
		bytes += len(l.entries[first-1-l.base.index-1].GetData())
		if bytes > maximumBytes {
			break
		}
		first--
	}
	return first
}
