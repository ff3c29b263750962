package storage

import (
	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
)

// Batch gathers what was asked to be saved one after another, so that one sync
// serves it all. The zero Batch is empty.
type Batch struct {
	hardState *v1.HardState
	entries   []*v1.Entry
	snapshot  *v1.Snapshot
	used      bool
}

// Add appends to the batch and reports whether it could: a snapshot only begins a
// batch. When it could not, save the batch and begin another.
func (b *Batch) Add(hardState *v1.HardState, entries []*v1.Entry, snapshot *v1.Snapshot) bool {
	if snapshot != nil && b.used {
		return false
	}
	if len(entries) > 0 && len(b.entries) > 0 {
		first, held := entries[0].GetIndex(), b.entries[0].GetIndex()
		if first < held || first > held+uint64(len(b.entries)) {
			return false
		}
		b.entries = b.entries[: first-held : first-held]
	}
	b.entries = append(b.entries, entries...)
	if hardState != nil {
		b.hardState = hardState
	}
	if snapshot != nil {
		b.snapshot = snapshot
	}
	b.used = true
	return true
}
