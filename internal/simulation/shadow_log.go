package simulation

import (
	"github.com/cespare/xxhash/v2"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/consensus"
	"github.com/hazelpitch/hazelpitch/internal/control"
)

// entryMark identifies an entry by its term and content.
type entryMark struct {
	term    uint64
	content uint64
}

// markOf returns the mark of an entry.
func markOf(entry *v1.Entry) entryMark {
	return entryMark{term: entry.GetTerm(), content: xxhash.Sum64(entry.GetData()) + uint64(entry.GetType())}
}

// shadowLog is a copy of one controller's log as its core has written it.
type shadowLog struct {
	// first and last are the indexes of the first and the last entry in the copy.
	first   uint64
	last    uint64
	marks   map[uint64]entryMark
	entries map[uint64]*v1.Entry
	// checked is the index up to which the checks have compared applied entries.
	checked uint64
}

// load sets the copy to the content of a disk.
func (l *shadowLog) load(restored consensus.Restored) {
	index := restored.Snapshot.GetMetadata().GetIndex()
	*l = shadowLog{first: index + 1, last: index, marks: map[uint64]entryMark{}, entries: map[uint64]*v1.Entry{}, checked: index}
	l.add(restored.Entries)
}

// apply applies a batch to the copy.
func (l *shadowLog) apply(batch control.Persist) {
	if metadata := batch.Snapshot.GetMetadata(); metadata != nil {
		index := metadata.GetIndex()
		mark, isHeld := l.marks[index]
		if index > l.last || isHeld && mark.term != metadata.GetTerm() {
			l.truncate(l.first)
			l.first, l.last = index+1, index
			l.checked = max(l.checked, index)
		}
	}
	l.add(batch.Entries)
}

// add appends entries; each replaces those at its index and after it.
func (l *shadowLog) add(entries []*v1.Entry) {
	for _, entry := range entries {
		l.truncate(entry.GetIndex())
		l.marks[entry.GetIndex()] = markOf(entry)
		l.entries[entry.GetIndex()] = entry
		l.last = entry.GetIndex()
	}
}

// truncate removes the entries from index on.
func (l *shadowLog) truncate(index uint64) {
	for ; l.last >= index && l.last >= l.first; l.last-- {
		delete(l.marks, l.last)
		delete(l.entries, l.last)
	}
}
