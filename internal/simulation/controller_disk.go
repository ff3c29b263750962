package simulation

import (
	"github.com/hazelpitch/hazelpitch/internal/control"
	"github.com/hazelpitch/hazelpitch/internal/filesystem/memory"
	"github.com/hazelpitch/hazelpitch/internal/storage"
)

// startSync schedules a write of all waiting batches after a drawn disk delay.
func (c *controller) startSync() {
	if c.syncing {
		return
	}
	c.syncing = true
	delay := c.world.drawDuration(quickSync)
	if c.slowDisk {
		delay = c.world.drawDuration(slowSync)
	}
	c.after(delay, c.save)
}

// save writes and syncs the waiting batches and reports them to the core as persisted.
func (c *controller) save() {
	c.syncing = false
	batches := c.unsaved
	c.unsaved = nil
	if len(batches) == 0 {
		return
	}
	if err := saveAll(c.storage, batches); err != nil {
		c.world.checks.fail("durable state", "%s cannot save: %v", c.name, err)
		return
	}
	c.world.checks.logs.recordSynced(c, batches)
	c.step(control.Persisted{Batch: batches[len(batches)-1].Batch})
}

// saveAll saves batches with as few syncs as possible.
func saveAll(target *storage.Storage, batches []control.Persist) error {
	batch := &storage.Batch{}
	for _, persist := range batches {
		if batch.Add(persist.HardState, persist.Entries, persist.Snapshot) {
			continue
		}
		if err := target.SaveBatch(batch); err != nil {
			return err
		}
		batch = &storage.Batch{}
		batch.Add(persist.HardState, persist.Entries, persist.Snapshot)
	}
	return target.SaveBatch(batch)
}

// crash kills the process between two changes of the disk. Changes that were not synced are lost.
func (c *controller) crash() {
	if !c.isAlive {
		return
	}
	if len(c.unsaved) > 0 {
		c.disk.StopAfter(c.world.random.IntN(8))
		_ = saveAll(c.storage, c.unsaved) // the disk stops after a drawn number of changes
	}
	c.disk.Crash(c.world.random)
	c.core, c.storage = nil, nil
	c.kill()
	c.world.trace.add(c.world.now, c.name, "crashes")
}

// replaceDisk replaces the disk of a machine that is down by an empty one.
func (c *controller) replaceDisk() {
	c.diskCount++
	c.disk = memory.New()
	c.diskID = "" // set when the process starts on the new disk
	c.world.trace.add(c.world.now, c.name, "gets an empty disk")
}
