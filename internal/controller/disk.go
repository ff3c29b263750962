package controller

import (
	"github.com/gravitational/trace"

	"github.com/hazelpitch/hazelpitch/internal/control"
	"github.com/hazelpitch/hazelpitch/internal/storage"
)

// disk writes the Core's batches to the data directory.
type disk struct{ storage *storage.Storage }

// Write saves the batches with as few syncs as their order allows: a snapshot, or
// entries that leave a hole, begin a new one.
func (d disk) Write(batches []control.Persist) error {
	pending := &storage.Batch{}
	for _, batch := range batches {
		if pending.Add(batch.HardState, batch.Entries, batch.Snapshot) {
			continue
		}
		if err := d.storage.SaveBatch(pending); err != nil {
			return trace.Wrap(err)
		}
		pending = &storage.Batch{}
		if !pending.Add(batch.HardState, batch.Entries, batch.Snapshot) {
			return trace.Errorf("batch %d fits into no save", batch.Batch)
		}
	}
	return trace.Wrap(d.storage.SaveBatch(pending))
}
