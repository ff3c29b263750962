package controller

import (
	"github.com/gravitational/trace"

	"github.com/hazelpitch/hazelpitch/internal/control"
	"github.com/hazelpitch/hazelpitch/internal/storage"
)

// disk writes the Core's batches to the data directory.
type disk struct{ storage *storage.Storage }

// Write saves the batches with as few syncs as their order allows: a snapshot, or
// entries that do not continue the pending ones, require a new save.
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
			return trace.Errorf("batch %d cannot be saved on its own", batch.Batch)
		}
	}
	return trace.Wrap(d.storage.SaveBatch(pending))
}
