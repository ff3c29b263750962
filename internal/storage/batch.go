package storage

import (
	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
)

// Batch combines successive writes so that they need only one sync.
// The zero Batch is empty.
type Batch struct {
	hardState *v1.HardState
	entries   []*v1.Entry
	snapshot  *v1.Snapshot
	isUsed    bool
}

// Add adds a write to the batch. It reports false if the write must begin a new batch: a snapshot must be the first
// write of a batch, and entries must continue or overwrite those in it.
func (b *Batch) Add(hardState *v1.HardState, entries []*v1.Entry, snapshot *v1.Snapshot) bool {
	if snapshot != nil && b.isUsed {
		return false
	}
	if len(entries) > 0 && len(b.entries) > 0 {
		first, pendingFirst := entries[0].GetIndex(), b.entries[0].GetIndex()
		if first < pendingFirst || first > pendingFirst+uint64(len(b.entries)) {
			return false
		}
		b.entries = b.entries[: first-pendingFirst : first-pendingFirst]
	}
	b.entries = append(b.entries, entries...)
	if hardState != nil {
		b.hardState = hardState
	}
	if snapshot != nil {
		b.snapshot = snapshot
	}
	b.isUsed = true
	return true
}
